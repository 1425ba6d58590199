//! Drives sans-io members: passes inputs with their time to a member and executes its outputs in order.

use cottonnotch_decision::Micros;

/// A sans-io member. After each input, the caller polls outputs until there are none.
pub trait SansIoMember {
    /// An event that the member reacts to.
    type Input<'a>;
    /// An action to take or a change to report.
    type Output;

    /// Returns the input for a timeout that has passed.
    fn tick() -> Self::Input<'static>;

    /// Handles an input at the time `now`, in microseconds.
    fn handle(&mut self, now: Micros, input: Self::Input<'_>);

    /// Returns the next output, if any.
    fn poll(&mut self) -> Option<Self::Output>;

    /// Returns the time at which [`SansIoMember::tick`] is due. Another input may change that time.
    fn next_timeout(&self) -> Micros;
}

/// Implements [`SansIoMember`] with the inherent methods of the same names.
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

/// Passes inputs to a member and executes its outputs.
pub trait MemberDriver {
    /// The type of the member.
    type Member: SansIoMember;
    /// The error of an output that cannot be executed. Later outputs are then not executed.
    type Error;

    /// Returns the member.
    fn member(&mut self) -> &mut Self::Member;

    /// Executes one output. Outputs are executed in the order in which the member returned them.
    fn execute(
        &mut self,
        now: Micros,
        output: <Self::Member as SansIoMember>::Output,
    ) -> Result<(), Self::Error>;

    /// Passes an input to the member and executes all outputs.
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

    /// Passes the member's timeout to it, if the timeout has passed.
    fn handle_timeout(&mut self, now: Micros) -> Result<(), Self::Error> {
        if self.member().next_timeout() <= now {
            self.handle_input(now, Self::Member::tick())?;
        }
        Ok(())
    }
}

/// A timer for embedders that cannot cancel timers. It may fire earlier than the latest due time, but never later.
#[derive(Clone, Copy, Debug, Default)]
pub struct WakeUpTimer {
    due: Option<Micros>,
}

impl WakeUpTimer {
    /// Records that the timer has fired.
    pub fn fired(&mut self) {
        self.due = None;
    }

    /// Returns the delay in microseconds after which the embedder must set a timer to fire for `due`. `None` if an earlier timer is
    /// already set or nothing is due.
    pub fn arm(&mut self, now: Micros, due: Micros) -> Option<Micros> {
        if due == Micros::MAX || self.due.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.due = Some(due);
        Some((due - now).max(0))
    }
}
