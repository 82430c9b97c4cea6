package org.wingstall.core.route;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.wingstall.core.member.Addresses;
import org.wingstall.schema.platform.Member;

/**
 * Identifies an incarnation of an endpoint and where it runs.
 *
 * <p>{@code new EndpointIdentity("llm-3", 7, "kgn-a", "wingstall-llm", "a100", address)}
 *
 * @param memberId identifier in the membership list
 * @param incarnation increases with each restart of the endpoint
 * @param failureDomain failure domain of its box
 * @param service service that the endpoint runs
 * @param boxClass class of its box
 * @param address address that the endpoint listens on
 * @since 0.1
 */
public record EndpointIdentity(
        String memberId,
        long incarnation,
        String failureDomain,
        String service,
        String boxClass,
        InetSocketAddress address) {
    /** Returns the key of this incarnation; a restarted endpoint gets another one. */
    public String key() {
        return memberId + "@" + incarnation;
    }

    // Written out like hashCode: the generated methods of a record are made at its first use, which takes several ms.
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof EndpointIdentity that
                        && incarnation == that.incarnation
                        && Objects.equals(memberId, that.memberId)
                        && Objects.equals(failureDomain, that.failureDomain)
                        && Objects.equals(service, that.service)
                        && Objects.equals(boxClass, that.boxClass)
                        && Objects.equals(address, that.address);
    }

    @Override
    public int hashCode() {
        return 31 * Objects.hashCode(memberId) + Long.hashCode(incarnation);
    }

    /** Returns the identity of a member of the membership list. */
    public static EndpointIdentity of(Member member) {
        return new EndpointIdentity(
                member.getMemberId(),
                member.getIncarnation(),
                member.getFailureDomain(),
                member.getService(),
                member.getBoxClass() == null ? "" : member.getBoxClass(),
                Addresses.parse(member.getAddress()));
    }
}
