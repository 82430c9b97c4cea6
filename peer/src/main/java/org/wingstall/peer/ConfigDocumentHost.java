package org.wingstall.peer;

import java.util.Optional;
import org.wingstall.schema.peer.ConfigDocument;

/**
 * What a gateway lends to its links so that peers get its configuration; called on the mesh's event loop.
 *
 * <p>{@code mesh.configDocuments().attach(version -> documents.atLeast(version));}
 *
 * @since 0.20
 */
@FunctionalInterface
public interface ConfigDocumentHost {
    /**
     * Returns the document of the configuration.
     *
     * @param version lowest version that is of use
     * @return the document; empty if this gateway has none of that version or a later one
     */
    Optional<ConfigDocument> document(long version);
}
