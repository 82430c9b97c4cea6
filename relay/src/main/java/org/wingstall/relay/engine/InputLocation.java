package org.wingstall.relay.engine;

/**
 * Where the inputs of a request lie.
 *
 * <p>{@code new InputLocation("kgn-a", 3_000_000)}
 *
 * @param failureDomain failure domain that holds most of them; empty when there are none
 * @param bytes size of those that lie there
 * @since 0.5
 */
public record InputLocation(String failureDomain, long bytes) {
    /** No inputs. */
    public static final InputLocation NONE = new InputLocation("", 0);

    /** Returns what it costs to read them in another failure domain, in ms; 0 where they lie. */
    double remoteCostMs(String readerDomain, double baseMs, double msPerByte) {
        boolean near = failureDomain.isEmpty() || failureDomain.equals(readerDomain);
        return near ? 0 : baseMs + bytes * msPerByte;
    }
}
