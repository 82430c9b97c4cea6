package org.wingstall.core.route;

import java.net.InetSocketAddress;
import org.wingstall.core.member.Addresses;
import org.wingstall.schema.platform.Member;

/**
 * Who and where an endpoint is.
 *
 * <p>{@code new EndpointIdentity("llm-3", 7, "kgn-a", "wingstall-llm", "a100", address)}
 *
 * @param memberId identifier in the membership list
 * @param incarnation grows when the endpoint starts anew
 * @param failureDomain failure domain of its box
 * @param service service that it runs
 * @param boxClass class of its box
 * @param address where it listens
 * @since 0.1
 */
public record EndpointIdentity(
        String memberId,
        long incarnation,
        String failureDomain,
        String service,
        String boxClass,
        InetSocketAddress address) {
    /** Returns who and where a member of the list is. */
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
