package org.wingstall.relay.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.wingstall.relay.wire.RelayRequest.PromptPart;

/**
 * Describes a prompt with the data that the selection of an engine needs.
 *
 * <p>{@code Prompt prompt = Prompt.of(request.prompt()); prompt.tokensFrom(cache.assignedParts(prompt))}
 *
 * @param shared identifier of the last part that other requests may share; an empty string when there is none
 * @param digests for each part, a digest of it and all parts before it
 * @param tokens number of tokens of each part
 * @since 0.4
 */
public record Prompt(String shared, List<Long> digests, List<Integer> tokens) {
    /** Copies the lists. */
    public Prompt {
        digests = List.copyOf(digests);
        tokens = List.copyOf(tokens);
    }

    /** Returns the prompt of a request; the last part is the request's own. */
    public static Prompt of(List<PromptPart> parts) {
        Long[] digests = new Long[parts.size()];
        long before = 0;
        for (int i = 0; i < digests.length; i++) {
            before = Hashing.komihash5_0()
                    .hashStream()
                    .putLong(before)
                    .putString(parts.get(i).id())
                    .getAsLong();
            digests[i] = before;
        }
        String shared = parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
        return new Prompt(
                shared, List.of(digests), parts.stream().map(PromptPart::tokens).toList());
    }

    /** Returns the number of tokens in a part and all parts after it. */
    int tokensFrom(int part) {
        int sum = 0;
        for (int i = part; i < tokens.size(); i++) {
            sum += tokens.get(i);
        }
        return sum;
    }

    /** Returns the number of tokens in the request's own part. */
    int ownTokens() {
        return tokens.isEmpty() ? 0 : tokens.get(tokens.size() - 1);
    }
}
