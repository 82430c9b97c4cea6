package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;

/** Builds the messages that boxes exchange about suspects. */
final class CrashMessages {
    /** Maximum number of reports in one message; limits a frame to about 10 KB. */
    private static final int MAX_REPORTS = 100;

    private CrashMessages() {}

    static CrashNews ofTrial(CrashTrial trial) {
        return new CrashNews(List.of(), List.of(trial));
    }

    static List<CrashNews> ofReports(List<CrashReport> reports) {
        List<CrashNews> messages = new ArrayList<>();
        for (int from = 0; from < reports.size(); from += MAX_REPORTS) {
            int to = Math.min(reports.size(), from + MAX_REPORTS);
            messages.add(new CrashNews(reports.subList(from, to), List.of()));
        }
        return messages;
    }
}
