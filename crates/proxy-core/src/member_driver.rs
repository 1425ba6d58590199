//! How a sans-io member is driven.

use cottonnotch_decision::Micros;

/// A sans-io member: inputs with their time go in, then outputs come out until there is none.
pub trait SansIoMember {
    /// What happened.
    type Input<'a>;
    /// What is to be done, or to be known.
    type Output;

    /// The input that says that [`SansIoMember::next_timeout`] has come.
    fn tick() -> Self::Input<'static>;

    /// Takes an input.
    fn handle(&mut self, now: Micros, input: Self::Input<'_>);

    /// The next thing to do, if any.
    fn poll(&mut self) -> Option<Self::Output>;

    /// When [`SansIoMember::time`] is due, unless another input comes first.
    fn next_timeout(&self) -> Micros;
}

macro_rules! driven {
    ($member:ty, $input:ty, $time:expr, $output:ty) => {
        impl SansIoMember for $member {
            type Input<'a> = $input;
            type Output = $output;

            fn tick() -> Self::Input<'static> {
                $time
            }

            fn handle(&mut self, now: Micros, input: Self::Input<'_>) {
                <$member>::handle(self, now, input);
            }

            fn poll(&mut self) -> Option<Self::Output> {
                <$member>::poll(self)
            }

            fn next_timeout(&self) -> Micros {
                <$member>::next_timeout(self)
            }
        }
    };
}

driven!(
    cottonnotch_consensus::Member,
    cottonnotch_consensus::Input,
    cottonnotch_consensus::Input::Tick,
    cottonnotch_consensus::Output
);
driven!(
    cottonnotch_aggregation::Member,
    cottonnotch_aggregation::Input<'a>,
    cottonnotch_aggregation::Input::Tick,
    cottonnotch_aggregation::Output
);
driven!(
    cottonnotch_gossip::Gossip,
    cottonnotch_gossip::Input<'a>,
    cottonnotch_gossip::Input::Tick,
    cottonnotch_gossip::Output
);

/// Who has a member, and carries out what it asks for.
pub trait MemberDriver {
    /// The member.
    type Member: SansIoMember;
    /// Why an output can't be carried out; what is left of them is not.
    type Error;

    /// Its member.
    fn member(&mut self) -> &mut Self::Member;

    /// Carries out one output; they come in their order.
    fn execute(
        &mut self,
        now: Micros,
        output: <Self::Member as SansIoMember>::Output,
    ) -> Result<(), Self::Error>;

    /// Hands the member an input, and carries out all that comes of it.
    fn handle_input(
        &mut self,
        now: Micros,
        input: <Self::Member as SansIoMember>::Input<'_>,
    ) -> Result<(), Self::Error> {
        self.member().handle(now, input);
        while let Some(output) = self.member().poll() {
            self.execute(now, output)?;
        }
        Ok(())
    }

    /// Tells the member that its time has come, if it has.
    fn handle_timeout(&mut self, now: Micros) -> Result<(), Self::Error> {
        if self.member().next_timeout() <= now {
            self.handle_input(now, Self::Member::tick())?;
        }
        Ok(())
    }
}

/// One timer of an embedder that can't take timers back: it may ring early, and never late.
#[derive(Clone, Copy, Debug, Default)]
pub struct WakeUpTimer {
    armed: Option<Micros>,
}

impl WakeUpTimer {
    /// It rings.
    pub fn fired(&mut self) {
        self.armed = None;
    }

    /// After how long a timer is to ring, if another one is needed for what is due then.
    pub fn arm(&mut self, now: Micros, due: Micros) -> Option<Micros> {
        if due == Micros::MAX || self.armed.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.armed = Some(due);
        Some((due - now).max(0))
    }
}
