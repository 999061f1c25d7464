//! Channels, which identify the protocols that share the transport.

/// Identifies the protocol of a datagram. Each protocol has its own handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// Carries failure detection and the membership registry.
    Membership,
    /// Carries leases of quota shards.
    Leases,
    /// Carries tenant quotas.
    Quotas,
    /// Carries overrides set by operators.
    Overrides,
    /// Carries fault reports on endpoints.
    FaultReports,
}

impl Channel {
    const ALL: [Channel; 5] =
        [Channel::Membership, Channel::Leases, Channel::Quotas, Channel::Overrides, Channel::FaultReports];

    /// Returns the channel's number in a datagram's header.
    pub(crate) fn to_byte(self) -> u8 {
        match self {
            Channel::Membership => 1,
            Channel::Leases => 2,
            Channel::Quotas => 3,
            Channel::Overrides => 4,
            Channel::FaultReports => 5,
        }
    }

    /// Returns the channel with this number, or `None` if this version does not know it.
    pub(crate) fn from_byte(byte: u8) -> Option<Channel> {
        Channel::ALL.into_iter().find(|channel| channel.to_byte() == byte)
    }
}
