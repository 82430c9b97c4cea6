package org.wingstall.standin.fleet;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The text of the streams that endpoints answer with. */
final class StreamText {
    private StreamText() {}

    /** Returns a whole stream that does not name the software version that wrote it. */
    static String stream(String id, int events) {
        return IntStream.rangeClosed(1, events)
                .mapToObj(number -> event(id, number, ""))
                .collect(Collectors.joining());
    }

    /** Returns one event; {@code version} is added to its data. */
    static String event(String id, int number, String version) {
        return "id: " + number + "\ndata: token " + number + " of " + id + version + "\n\n";
    }
}
