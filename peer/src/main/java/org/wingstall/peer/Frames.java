package org.wingstall.peer;

import java.util.List;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigDocument;
import org.wingstall.schema.peer.ConfigDocumentRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.ConfigRequest;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.LimitNews;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.RejectionNews;
import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;
import org.wingstall.schema.peer.StreamOrigin;
import org.wingstall.schema.peer.StreamOriginAsk;
import org.wingstall.schema.peer.TunnelReply;
import org.wingstall.schema.peer.TunnelRequest;

/**
 * Wraps messages between gateways into frames.
 *
 * <p>{@code link.send(Frames.heartbeat(heartbeat));}
 *
 * @since 0.1
 */
public final class Frames {
    private Frames() {}

    /** What a frame may carry; one part is set. */
    private static final class Parts {
        private final long correlation;
        private Hello hello;
        private Heartbeat heartbeat;
        private ConfigRequest configRequest;
        private ConfigReply configReply;
        private ClaimRequest claimRequest;
        private ClaimReply claimReply;
        private MemberNews memberNews;
        private StageWork stageWork;
        private StageResult stageResult;
        private List<StageResult> stageResults;
        private boolean stageWithdrawn;
        private StageFreed stageFreed;
        private EngineAsk engineAsk;
        private EngineChoice engineChoice;
        private EngineOutcome engineOutcome;
        private boolean stageTaken;
        private CrashNews crashNews;
        private LimitNews limitNews;
        private TunnelRequest tunnelRequest;
        private TunnelReply tunnelReply;
        private RejectionNews rejectionNews;
        private StreamOrigin streamOrigin;
        private StreamOriginAsk streamOriginAsk;
        private ConfigDocumentRequest configDocumentRequest;
        private ConfigDocument configDocument;

        Parts(long correlation) {
            this.correlation = correlation;
        }

        PeerFrame frame() {
            return new PeerFrame(
                    correlation,
                    hello,
                    heartbeat,
                    configRequest,
                    configReply,
                    claimRequest,
                    claimReply,
                    memberNews,
                    stageWork,
                    stageResult,
                    stageWithdrawn,
                    stageFreed,
                    engineAsk,
                    engineChoice,
                    engineOutcome,
                    stageTaken,
                    crashNews,
                    limitNews,
                    tunnelRequest,
                    tunnelReply,
                    rejectionNews,
                    streamOrigin,
                    streamOriginAsk,
                    stageResults,
                    configDocumentRequest,
                    configDocument);
        }
    }

    static PeerFrame hello(Hello hello) {
        Parts parts = new Parts(0);
        parts.hello = hello;
        return parts.frame();
    }

    /** Returns the frame of a heartbeat. */
    public static PeerFrame heartbeat(Heartbeat heartbeat) {
        Parts parts = new Parts(0);
        parts.heartbeat = heartbeat;
        return parts.frame();
    }

    static PeerFrame configRequest(long afterRevision) {
        Parts parts = new Parts(afterRevision);
        parts.configRequest = new ConfigRequest(afterRevision);
        return parts.frame();
    }

    static PeerFrame configReply(long correlation, ConfigReply reply) {
        Parts parts = new Parts(correlation);
        parts.configReply = reply;
        return parts.frame();
    }

    static PeerFrame claimRequest(long correlation, ClaimRequest request) {
        Parts parts = new Parts(correlation);
        parts.claimRequest = request;
        return parts.frame();
    }

    static PeerFrame claimReply(long correlation, ClaimReply reply) {
        Parts parts = new Parts(correlation);
        parts.claimReply = reply;
        return parts.frame();
    }

    static PeerFrame memberNews(MemberNews news) {
        Parts parts = new Parts(0);
        parts.memberNews = news;
        return parts.frame();
    }

    static PeerFrame stageWork(long correlation, StageWork work) {
        Parts parts = new Parts(correlation);
        parts.stageWork = work;
        return parts.frame();
    }

    static PeerFrame stageTaken(long correlation) {
        Parts parts = new Parts(correlation);
        parts.stageTaken = true;
        return parts.frame();
    }

    static PeerFrame stageResult(long correlation, StageResult result) {
        Parts parts = new Parts(correlation);
        parts.stageResult = result;
        return parts.frame();
    }

    static PeerFrame stageResults(long correlation, List<StageResult> results) {
        Parts parts = new Parts(correlation);
        parts.stageResults = results;
        return parts.frame();
    }

    static PeerFrame stageWithdrawn(long correlation) {
        Parts parts = new Parts(correlation);
        parts.stageWithdrawn = true;
        return parts.frame();
    }

    static PeerFrame stageFreed(StageFreed freed) {
        Parts parts = new Parts(0);
        parts.stageFreed = freed;
        return parts.frame();
    }

    static PeerFrame engineAsk(long correlation, EngineAsk ask) {
        Parts parts = new Parts(correlation);
        parts.engineAsk = ask;
        return parts.frame();
    }

    static PeerFrame engineChoice(long correlation, EngineChoice choice) {
        Parts parts = new Parts(correlation);
        parts.engineChoice = choice;
        return parts.frame();
    }

    static PeerFrame crashNews(CrashNews news) {
        Parts parts = new Parts(0);
        parts.crashNews = news;
        return parts.frame();
    }

    static PeerFrame limitNews(LimitNews news) {
        Parts parts = new Parts(0);
        parts.limitNews = news;
        return parts.frame();
    }

    static PeerFrame tunnelRequest(TunnelRequest request) {
        Parts parts = new Parts(0);
        parts.tunnelRequest = request;
        return parts.frame();
    }

    static PeerFrame tunnelReply(TunnelReply reply) {
        Parts parts = new Parts(0);
        parts.tunnelReply = reply;
        return parts.frame();
    }

    static PeerFrame rejectionNews(RejectionNews news) {
        Parts parts = new Parts(0);
        parts.rejectionNews = news;
        return parts.frame();
    }

    static PeerFrame streamOrigin(long correlation, StreamOrigin origin) {
        Parts parts = new Parts(correlation);
        parts.streamOrigin = origin;
        return parts.frame();
    }

    static PeerFrame streamOriginAsk(long correlation, StreamOriginAsk ask) {
        Parts parts = new Parts(correlation);
        parts.streamOriginAsk = ask;
        return parts.frame();
    }

    static PeerFrame configDocumentRequest(long correlation, long version) {
        Parts parts = new Parts(correlation);
        parts.configDocumentRequest = new ConfigDocumentRequest(version);
        return parts.frame();
    }

    static PeerFrame configDocument(long correlation, ConfigDocument document) {
        Parts parts = new Parts(correlation);
        parts.configDocument = document;
        return parts.frame();
    }

    static PeerFrame engineOutcome(EngineOutcome outcome) {
        Parts parts = new Parts(0);
        parts.engineOutcome = outcome;
        return parts.frame();
    }
}
