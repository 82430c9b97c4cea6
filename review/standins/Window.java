/** A disruption that comes again: on for 5 s, the longest that the site file has for such answers, then off for 5 s. */
final class Window {
    private static final long ON_MS = 5000;
    private static final long OFF_MS = 5000;

    private final long fromNs = System.nanoTime();

    boolean open() {
        return (System.nanoTime() - fromNs) / 1_000_000 % (ON_MS + OFF_MS) < ON_MS;
    }
}
