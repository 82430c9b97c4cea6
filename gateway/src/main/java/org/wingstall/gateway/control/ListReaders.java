package org.wingstall.gateway.control;

import java.util.Set;
import org.wingstall.schema.peer.MemberNews;

/** The other boxes of the failure domain, as far as they read the platform's membership list for each other. */
public interface ListReaders {
    /** Returns whether this box is among those that read the list for the others now. */
    boolean readsForOthers();

    /** Returns the short tags of the lists that others read lately. */
    Set<Integer> tagsReadByOthers();

    /** Passes a change on to the others. */
    void tell(MemberNews news);
}
