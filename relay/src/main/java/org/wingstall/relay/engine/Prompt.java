package org.wingstall.relay.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import org.wingstall.relay.wire.RelayRequest.PromptPart;

/**
 * A prompt as the choice of an engine sees it.
 *
 * <p>{@code Prompt prompt = Prompt.of(request.prompt()); prompt.tokensFrom(memory.given(prompt))}
 *
 * @param shared identifier of the last part that other requests may share; empty when there is none
 * @param digests digest of each part and all parts before it
 * @param tokens tokens of each part
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

    /** Returns the tokens of a part and of all after it. */
    int tokensFrom(int part) {
        int sum = 0;
        for (int i = part; i < tokens.size(); i++) {
            sum += tokens.get(i);
        }
        return sum;
    }

    /** Returns the tokens of the part that is the request's own. */
    int ownTokens() {
        return tokens.isEmpty() ? 0 : tokens.get(tokens.size() - 1);
    }
}
