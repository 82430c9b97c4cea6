package org.wingstall.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wingstall.net.http.HttpCall;

/** Checks that requests and pieces come with all inputs of their own request, and with no others. */
final class InputChecks {
    /** Results that a request of the staged route reads, as callers of the tests ask for. */
    private static final int STAGED_INPUTS = 3;

    private final List<String> wrong = new CopyOnWriteArrayList<>();

    /** Returns the pieces and requests that came with inputs of another request, or without some of their own. */
    List<String> wrong() {
        return List.copyOf(wrong);
    }

    /** Checks a request; the stages before one of the staged route end in {@link #STAGED_INPUTS} results of its own. */
    void check(HttpCall call) {
        if (call.path().startsWith("/staged/")) {
            String inputs = call.header("X-Wingstall-Inputs");
            List<String> handles = inputs == null ? List.of() : List.of(inputs.split(","));
            check(WorkerStandin.requestId(call), handles, STAGED_INPUTS);
        }
    }

    /** Checks a piece. */
    void check(JsonNode piece) {
        List<String> handles = new ArrayList<>();
        piece.path("inputs").forEach(handle -> handles.add(handle.asText()));
        check(piece.path("id").asText(), handles, piece.path("phase").asInt());
    }

    private void check(String id, List<String> handles, int expected) {
        boolean own = handles.stream().allMatch(handle -> handle.contains("/" + id + "."));
        if (!own || handles.stream().distinct().count() != expected || handles.size() != expected) {
            wrong.add(id + " got " + handles);
        }
    }
}
