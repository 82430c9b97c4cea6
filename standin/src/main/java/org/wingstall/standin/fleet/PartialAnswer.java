package org.wingstall.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What came of an answer until it ended, also of one that was broken off.
 *
 * <p>{@code PartialAnswer answer = PartialAnswer.of(client, request); answer.lastEvent()}
 *
 * @param status its status; 0 when not even its head came
 * @param body its body
 * @param whole whether it was complete
 * @since 0.16
 */
public record PartialAnswer(int status, String body, boolean whole) {
    private static final String EVENT_END = "\n\n";
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: token \\1 of \\S+( by (\\S+))?\n\n");

    /** Sends a request and keeps what comes. */
    public static PartialAnswer of(HttpClient client, HttpRequest request) throws InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        boolean whole = false;
        try {
            HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            status = response.statusCode();
            response.body().transferTo(body);
            whole = true;
        } catch (IOException e) {
            // What came before the end is the result.
            whole = false;
        }
        return new PartialAnswer(status, body.toString(StandardCharsets.UTF_8), whole);
    }

    /** Returns the numbers of the complete events, in order. */
    public List<Integer> events() {
        List<Integer> numbers = new ArrayList<>();
        Matcher event = EVENT.matcher(body);
        while (event.find()) {
            numbers.add(Integer.parseInt(event.group(1)));
        }
        return numbers;
    }

    /** Returns the software versions that wrote complete events. */
    public TreeSet<String> writers() {
        TreeSet<String> writers = new TreeSet<>();
        Matcher event = EVENT.matcher(body);
        while (event.find()) {
            if (event.group(3) != null) {
                writers.add(event.group(3));
            }
        }
        return writers;
    }

    /** Returns a stream without the names of the version that wrote it; as it is, if several versions wrote it. */
    public static String withoutWriters(String stream) {
        TreeSet<String> writers = new PartialAnswer(0, stream, true).writers();
        return writers.size() == 1 ? stream.replace(" by " + writers.first() + "\n", "\n") : stream;
    }

    /** Returns whether the body ends inside an event. */
    public boolean endsInsideEvent() {
        return !body.isEmpty() && !body.endsWith(EVENT_END);
    }
}
