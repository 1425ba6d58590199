//! How a sans-io member is driven: inputs go in with their time, outputs are executed in their order.

use cottonnotch_decision::Micros;

/// A sans-io member: an input with its time, then outputs until there is none.
pub trait SansIoMember {
    /// What happened.
    type Input<'a>;
    /// An action to take, or news.
    type Output;

    /// The input for a timeout that has passed.
    fn tick() -> Self::Input<'static>;

    /// Handles an input at that time, in microseconds.
    fn handle(&mut self, now: Micros, input: Self::Input<'_>);

    /// The next output, if any.
    fn poll(&mut self) -> Option<Self::Output>;

    /// When [`SansIoMember::tick`] is due, unless another input comes first.
    fn next_timeout(&self) -> Micros;
}

/// Implements [`SansIoMember`] by the inherent methods of the same names.
macro_rules! impl_sans_io_member {
    ($member:ty, $input:ty, $tick:expr, $output:ty) => {
        impl SansIoMember for $member {
            type Input<'a> = $input;
            type Output = $output;

            fn tick() -> Self::Input<'static> {
                $tick
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

impl_sans_io_member!(
    cottonnotch_consensus::Member,
    cottonnotch_consensus::Input,
    cottonnotch_consensus::Input::Tick,
    cottonnotch_consensus::Output
);
impl_sans_io_member!(
    cottonnotch_aggregation::Member,
    cottonnotch_aggregation::Input<'a>,
    cottonnotch_aggregation::Input::Tick,
    cottonnotch_aggregation::Output
);
impl_sans_io_member!(
    cottonnotch_gossip::Gossip,
    cottonnotch_gossip::Input<'a>,
    cottonnotch_gossip::Input::Tick,
    cottonnotch_gossip::Output
);

/// Owns a member and executes its outputs.
pub trait MemberDriver {
    /// The member.
    type Member: SansIoMember;
    /// Why an output can't be executed; the outputs after it are not.
    type Error;

    /// Its member.
    fn member(&mut self) -> &mut Self::Member;

    /// Executes one output; they come in their order.
    fn execute(
        &mut self,
        now: Micros,
        output: <Self::Member as SansIoMember>::Output,
    ) -> Result<(), Self::Error>;

    /// Hands the member an input, and executes all outputs.
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

    /// Hands the member its timeout, if that has passed.
    fn handle_timeout(&mut self, now: Micros) -> Result<(), Self::Error> {
        if self.member().next_timeout() <= now {
            self.handle_input(now, Self::Member::tick())?;
        }
        Ok(())
    }
}

/// The timer of an embedder that can't cancel timers: it may fire early, and never late.
#[derive(Clone, Copy, Debug, Default)]
pub struct WakeUpTimer {
    due: Option<Micros>,
}

impl WakeUpTimer {
    /// The timer has fired.
    pub fn fired(&mut self) {
        self.due = None;
    }

    /// After how long a timer has to fire for what is due then, in microseconds; `None`: one that is set already suffices.
    pub fn arm(&mut self, now: Micros, due: Micros) -> Option<Micros> {
        if due == Micros::MAX || self.due.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.due = Some(due);
        Some((due - now).max(0))
    }
}
