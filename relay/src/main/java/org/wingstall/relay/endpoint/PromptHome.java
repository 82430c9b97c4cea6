package org.wingstall.relay.endpoint;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.wingstall.core.peer.Rendezvous;
import org.wingstall.relay.wire.RelayRequest;
import org.wingstall.relay.wire.RelayRequest.PromptPart;

/**
 * Chooses the engine that takes the least time for a prompt: reading what it is not thought to keep, beside what runs there.
 *
 * <p>All boxes give a shared part the same home by rendezvous hashing, so that its engine has read it whichever box sends
 * the request; a box also remembers where it sent parts itself.
 *
 * <p>{@code new PromptHome().choose(candidates, request)}
 *
 * @since 0.2
 */
public final class PromptHome implements EndpointChooser {
    /** Prompt tokens that an engine reads in a millisecond; the operators' figure for their engines. */
    private static final double READ_TOKENS_PER_MS = 61.2;

    /** What a request of this box that runs at an engine costs the next one, in ms; near the mean of reading one prompt. */
    private static final double BESIDE_MS = 40;

    @Override
    public RelayEndpoint choose(List<RelayEndpoint> candidates, RelayRequest request) {
        RelayEndpoint chosen = likely(candidates, request);
        chosen.state().prefixes().remember(digests(request.prompt()));
        return chosen;
    }

    @Override
    public RelayEndpoint likely(List<RelayEndpoint> candidates, RelayRequest request) {
        long[] digests = digests(request.prompt());
        String home = homeOf(candidates, request.prompt());
        RelayEndpoint best = null;
        double bestMs = Double.MAX_VALUE;
        for (RelayEndpoint candidate : candidates) {
            double ms = readMs(candidate, request, digests, candidate.id().equals(home))
                    + candidate.state().inFlight() * BESIDE_MS;
            if (ms < bestMs) {
                best = candidate;
                bestMs = ms;
            }
        }
        return best;
    }

    /** Returns the engine that all boxes prefer for the last part that may be shared. */
    private static String homeOf(List<RelayEndpoint> candidates, List<PromptPart> prompt) {
        if (prompt.size() < 2) {
            return "";
        }
        String shared = prompt.get(prompt.size() - 2).id();
        List<String> ids = candidates.stream().map(RelayEndpoint::id).toList();
        return Rendezvous.top(shared, ids, 1).get(0);
    }

    private static double readMs(RelayEndpoint candidate, RelayRequest request, long[] digests, boolean home) {
        List<PromptPart> prompt = request.prompt();
        int warm = candidate.state().prefixes().warmBlocks(digests);
        if (home) {
            warm = Math.max(warm, prompt.size() - 1);
        }
        int tokens = 0;
        for (int i = warm; i < prompt.size(); i++) {
            tokens += prompt.get(i).tokens();
        }
        return tokens / READ_TOKENS_PER_MS;
    }

    private static long[] digests(List<PromptPart> prompt) {
        long[] digests = new long[prompt.size()];
        long before = 0;
        for (int i = 0; i < digests.length; i++) {
            before = Hashing.komihash5_0()
                    .hashStream()
                    .putLong(before)
                    .putString(prompt.get(i).id())
                    .getAsLong();
            digests[i] = before;
        }
        return digests;
    }
}
