package org.wingstall.load;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import org.wingstall.core.member.Addresses;
import org.wingstall.schema.check.InvalidDocumentException;

/** The gateways of one policy. */
record Target(String policy, List<InetSocketAddress> gateways) {
    static Target parse(String text) throws InvalidDocumentException {
        int equals = text.indexOf('=');
        if (equals < 1) {
            throw new InvalidDocumentException("--policy", text, "name=address,address");
        }
        List<InetSocketAddress> gateways = Arrays.stream(
                        text.substring(equals + 1).split(","))
                .map(Addresses::parse)
                .toList();
        return new Target(text.substring(0, equals), gateways);
    }
}
