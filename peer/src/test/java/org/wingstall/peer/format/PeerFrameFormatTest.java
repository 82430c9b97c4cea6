package org.wingstall.peer.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.net.frame.MessagePack;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.ConfigDocument;
import org.wingstall.schema.peer.ConfigDocumentRequest;
import org.wingstall.schema.peer.ConfigReply;
import org.wingstall.schema.peer.ConfigRequest;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;
import org.wingstall.schema.peer.DomainSummary;
import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.LeavingHint;
import org.wingstall.schema.peer.LimitNews;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.RejectionNews;
import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;
import org.wingstall.schema.peer.StreamOrigin;
import org.wingstall.schema.peer.StreamOriginAsk;
import org.wingstall.schema.peer.TunnelReply;
import org.wingstall.schema.peer.TunnelRequest;
import org.wingstall.schema.peer.WorkspaceDemand;
import org.wingstall.schema.platform.Member;

/** The generated format says the same bytes as the one by reflection, which other versions of a box speak. */
public class PeerFrameFormatTest {
    private static final long LARGE = 1L << 40;
    private static final List<WorkspaceDemand> DEMAND =
            List.of(new WorkspaceDemand("canteen", 12.5), new WorkspaceDemand("câine", 0));
    private static final Heartbeat WHOLE_HEARTBEAT = new Heartbeat(
            LARGE,
            true,
            List.of(new LeavingHint("e1", 7)),
            DEMAND,
            List.of(new DomainSummary("kgn-b", 2, 21, 900, DEMAND)),
            true,
            Integer.MIN_VALUE,
            0,
            LARGE,
            List.of("kgn-a", "spt-c"),
            3,
            LARGE,
            List.of("pay-ledger"),
            LARGE);

    private static final StageWork STAGE_WORK = new StageWork(
            "pay-ledger",
            List.of(
                    new StagePiece("r", 0, 1, "key", null, 101, 900, 0, 3_000_000, "", 0, "key", 6000, 900),
                    new StagePiece("r", 2, 300, null, List.of("h1", "h2"), 1, 1, 70_000, 8, null, 5, null, 0, 0)));
    private static final List<StageResult> STAGE_RESULTS = List.of(
            new StageResult(0, "handle", "10.1.0.9:80", null, 0, 700, false, "9c41"),
            new StageResult(1, null, null, "NO_ROOM", 0, 0, false, null));
    private static final CrashNews CRASH_NEWS = new CrashNews(
            List.of(new CrashReport(
                    "f4a7", List.of("e1@0", "e2@5"), List.of("e2@5"), LARGE, LARGE, List.of("f4a8"), 3)),
            List.of(new CrashTrial("f4a7", "kgn-a-1/7/1", "e3@0"), new CrashTrial("f4a7", "kgn-a-1/7/1", null)));

    @DataProvider
    public Object[][] frames() {
        Member member = new Member(
                "e1", Member.Kind.ENDPOINT, "kgn-a", "10.1.0.1:80", "llm", null, Member.State.LEAVING, LARGE, 64, 2900);
        return new Object[][] {
            {"hello", frame(1, 0, new Hello("kgn-a-1", "kgn-a", "10.1.0.1:7741", LARGE, 36, true, true))},
            {
                "heartbeat",
                frame(
                        2,
                        0,
                        new Heartbeat(3, false, List.of(), null, null, false, -5, LARGE, 0, null, 0, 0, null, LARGE))
            },
            {"whole heartbeat", frame(2, 0, WHOLE_HEARTBEAT)},
            {"configRequest", frame(3, 9, new ConfigRequest(12))},
            {"configReply", frame(4, 9, new ConfigReply(7, true, List.of(), List.of(member), "tag"))},
            {"claimRequest", frame(5, 9, new ClaimRequest("canteen/1", 0, null))},
            {"memberNews", frame(7, 0, new MemberNews("a", "b", List.of(member), List.of("e2"), 77, 3))},
            {"stageWork", frame(8, LARGE, STAGE_WORK)},
            {"stageResult", frame(9, 1, new StageResult(2, "handle", "10.1.0.9:80", null, 0, 700, false, "9c41"))},
            {"stageResults", frame(23, LARGE, STAGE_RESULTS)},
            {"failed stageResult", frame(9, 1, new StageResult(2, null, null, "NOT_IN_TIME", 2400, 0, true, "9c41"))},
            {"stageFreed", frame(11, 0, new StageFreed("10.1.0.9:80", List.of("h1", "h2")))},
            {
                "engineAsk",
                frame(
                        12,
                        5,
                        new EngineAsk(
                                "llm",
                                "5c1e",
                                List.of(-7L, LARGE),
                                List.of(800, 410, 250),
                                "kgn-a",
                                List.of("e9"),
                                LARGE,
                                900))
            },
            {"engineChoice", frame(13, 5, new EngineChoice("e1", 65, 0, 250, null, 350))},
            {"stageTaken", frame(15, 8, true)},
            {"crashNews", frame(16, 0, CRASH_NEWS)},
            {"limitNews", frame(17, 0, new LimitNews("e1@1", 3, 0.3, "kgn-a-1"))},
            {"tunnelRequest", frame(18, 0, new TunnelRequest("e1", LARGE))},
            {"tunnelReply", frame(19, 0, new TunnelReply(true, null))},
            {"tunnelRefused", frame(19, 0, new TunnelReply(false, "the endpoint is not reached"))},
            {"rejectionNews", frame(20, 0, new RejectionNews("e1", LARGE, 4, "kgn-a-1", LARGE))},
            {"streamOrigin", frame(21, 7, new StreamOrigin("c2", "kgn-a-1", 1, "canteen", "llm", "v1", 40, LARGE))},
            {"streamOriginAsk", frame(22, LARGE, new StreamOriginAsk("c2"))},
            {"configDocumentRequest", frame(24, 5, new ConfigDocumentRequest(LARGE))},
            {"configDocument", frame(25, 5, new ConfigDocument(LARGE, "eyJ2ZXJzaW9uIjo3fQ=="))},
            {"engineOutcome", frame(14, 0, new EngineOutcome("e1", 65, -1, 0, 250))},
            {
                "withdrawn",
                new PeerFrame(
                        4L, null, null, null, null, null, null, null, null, null, true, null, null, null, null, false,
                        null, null, null, null, null, null, null, null, null, null)
            },
        };
    }

    /** Makes a frame with one part, given the part's place among the properties. */
    private static PeerFrame frame(int place, long correlation, Object part) {
        Object[] parts = new Object[26];
        parts[place] = part;
        return new PeerFrame(
                correlation,
                (Hello) parts[1],
                (Heartbeat) parts[2],
                (ConfigRequest) parts[3],
                (ConfigReply) parts[4],
                (ClaimRequest) parts[5],
                null,
                (MemberNews) parts[7],
                (StageWork) parts[8],
                (StageResult) parts[9],
                false,
                (StageFreed) parts[11],
                (EngineAsk) parts[12],
                (EngineChoice) parts[13],
                (EngineOutcome) parts[14],
                parts[15] != null,
                (CrashNews) parts[16],
                (LimitNews) parts[17],
                (TunnelRequest) parts[18],
                (TunnelReply) parts[19],
                (RejectionNews) parts[20],
                (StreamOrigin) parts[21],
                (StreamOriginAsk) parts[22],
                parts[23] == null
                        ? null
                        : ((List<?>) parts[23])
                                .stream().map(StageResult.class::cast).toList(),
                (ConfigDocumentRequest) parts[24],
                (ConfigDocument) parts[25]);
    }

    @Test(dataProvider = "frames")
    public void aFrameHasTheBytesThatTheMapperGivesIt(String part, PeerFrame frame) {
        assertEquals(PeerFrameFormat.INSTANCE.write(frame), MessagePack.write(frame), part);
    }

    @Test(dataProvider = "frames")
    public void aFrameIsReadLikeByTheMapper(String part, PeerFrame frame) throws InvalidDocumentException {
        byte[] bytes = MessagePack.write(frame);

        PeerFrame read = PeerFrameFormat.INSTANCE.read(bytes);

        assertEquals(Json.writeText(read), Json.writeText(MessagePack.read(bytes, PeerFrame.class)), part);
    }

    @Test
    public void aFrameOfAnOlderBoxLacksTheLastProperties() throws IOException, InvalidDocumentException {
        try (MessageBufferPacker older = org.msgpack.core.MessagePack.newDefaultBufferPacker()) {
            older.packArrayHeader(2)
                    .packLong(7)
                    .packArrayHeader(2)
                    .packString("kgn-a-1")
                    .packString("kgn-a");
            PeerFrame read = PeerFrameFormat.INSTANCE.read(older.toByteArray());
            assertEquals(read.getCorrelation(), 7);
            assertEquals(read.getHello().getFailureDomain(), "kgn-a");
            assertEquals(read.getHello().getCapacity(), 0);
        }
    }

    @Test
    public void propertiesOfANewerBoxArePassedOver() throws IOException, InvalidDocumentException {
        try (MessageBufferPacker newer = org.msgpack.core.MessagePack.newDefaultBufferPacker()) {
            newer.packArrayHeader(4)
                    .packLong(7)
                    .packArrayHeader(8)
                    .packString("b")
                    .packString("d")
                    .packString("a");
            newer.packLong(1)
                    .packInt(2)
                    .packBoolean(true)
                    .packBoolean(true)
                    .packArrayHeader(1)
                    .packString("new")
                    .packNil();
            newer.packArrayHeader(1).packLong(5);
            PeerFrame read = PeerFrameFormat.INSTANCE.read(newer.toByteArray());
            assertEquals(read.getHello().getCapacity(), 2);
            assertEquals(read.getConfigRequest().getAfterRevision(), 5);
        }
    }

    @Test(dataProvider = "frames")
    public void aFrameThatWasCutOffIsNoFrame(String part, PeerFrame frame) {
        byte[] bytes = MessagePack.write(frame);
        byte[] cut = Arrays.copyOf(bytes, bytes.length / 2);
        expectThrows(InvalidDocumentException.class, () -> PeerFrameFormat.INSTANCE.read(cut));
    }
}
