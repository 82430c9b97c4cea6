package org.wingstall.relay.engine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import org.wingstall.core.peer.RendezvousHash;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.schema.platform.Member;

/** Tests which engine boxes prefer for a shared part of prompts. */
public class PreferredEngineTest {
    private static final int ENGINES = 12;

    private static Member engine(int number) {
        return new Member(
                "e" + number, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 0);
    }

    /** Boxes of an earlier build sort all engines; another result would have a shared part prefilled by two engines. */
    @Test
    public void theEngineOfTheHighestScoreIsPreferredWhicheverAreCandidates() {
        RelayEndpoints endpoints = new RelayEndpoints(() -> 0);
        endpoints.applyList(IntStream.range(0, ENGINES)
                .mapToObj(PreferredEngineTest::engine)
                .toList());
        List<RelayEndpoint> all = endpoints.ofService("llm");
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2000; i++) {
            long chosen = random.nextLong(1, 1L << ENGINES);
            List<RelayEndpoint> candidates = IntStream.range(0, ENGINES)
                    .filter(engine -> (chosen >> engine & 1) == 1)
                    .mapToObj(all::get)
                    .toList();
            List<String> ids = candidates.stream().map(RelayEndpoint::id).toList();
            Prompt prompt = Prompt.of(List.of(new PromptPart("part" + i, 100), new PromptPart("own", 100)));
            assertEquals(
                    EngineLoadBalancer.preferredEngine(candidates, prompt),
                    RendezvousHash.top("part" + i, ids, 1).get(0));
        }
    }
}
