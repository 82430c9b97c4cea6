package org.wingstall.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.wingstall.schema.load.Scenario;
import org.wingstall.schema.load.Stream;

/** When which request arrives and what it says: a function of scenario and seed. */
final class ArrivalPlan {
    private static final double MS_PER_SECOND = 1000;

    private ArrivalPlan() {}

    record Arrival(long atMs, Stream stream, String prompt, int gateway, long number) {}

    static List<Arrival> of(Scenario scenario, int gateways, long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        for (int i = 0; i < scenario.getStreams().size(); i++) {
            Stream stream = scenario.getStreams().get(i);
            addStream(arrivals, stream, scenario.getDurationMs(), gateways, new Random(seed * 1000 + i), i);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMs));
        return arrivals;
    }

    private static void addStream(
            List<Arrival> arrivals, Stream stream, long durationMs, int gateways, Random random, int index) {
        double atMs = 0;
        long number = 0;
        while (true) {
            atMs += -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / rate(stream, atMs);
            if (atMs >= durationMs) {
                return;
            }
            long id = index * 1_000_000_000L + number++;
            arrivals.add(new Arrival((long) atMs, stream, prompt(stream, random, id), random.nextInt(gateways), id));
        }
    }

    private static double rate(Stream stream, double atMs) {
        boolean burst = atMs >= stream.getBurstFromMs() && atMs < stream.getBurstToMs();
        return stream.getPerSecond() * (burst ? stream.getBurstFactor() : 1);
    }

    private static String prompt(Stream stream, Random random, long id) {
        StringBuilder prompt = new StringBuilder();
        fill(prompt, "shared by all of " + stream.getPipeline(), stream.getSharedPromptChars());
        if (stream.getSessions() > 0) {
            int session = random.nextInt(stream.getSessions());
            fill(prompt, "session " + session + " of " + stream.getPipeline(), stream.getSessionPromptChars());
        }
        return prompt.append("request ").append(id).toString();
    }

    private static void fill(StringBuilder prompt, String words, int chars) {
        int end = prompt.length() + chars;
        while (prompt.length() < end) {
            prompt.append(words).append(' ');
        }
        prompt.setLength(end);
    }
}
