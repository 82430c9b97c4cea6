package org.wingstall.relay.engine;

/**
 * Tells in which failure domain the inputs of a request are stored.
 *
 * <p>{@code new InputLocation("kgn-a", 3_000_000)}
 *
 * @param failureDomain failure domain that holds most of them; empty when there are none
 * @param bytes size of the inputs that are stored there
 * @since 0.5
 */
public record InputLocation(String failureDomain, long bytes) {
    /** A request without inputs. */
    public static final InputLocation NONE = new InputLocation("", 0);

    /** Returns the cost of reading the inputs from a failure domain, in ms; 0 in the one where they are stored. */
    double remoteCostMs(String readerDomain, double baseMs, double msPerByte) {
        boolean near = failureDomain.isEmpty() || failureDomain.equals(readerDomain);
        return near ? 0 : baseMs + bytes * msPerByte;
    }
}
