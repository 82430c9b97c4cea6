package org.wingstall.relay.wire;

import java.util.Optional;
import org.wingstall.relay.config.RelayConfig;

/**
 * Documents of the configuration in the form that their source has them, so that boxes can pass them on unchanged.
 *
 * <p>{@code documents.latest().ifPresent(document -> send(document.version(), document.bytes()));}
 *
 * @since 0.20
 */
public interface ConfigDocuments {
    /**
     * A document.
     *
     * @param version version of the configuration
     * @param bytes the document as it was read, not to be changed
     */
    record Document(long version, byte[] bytes) {}

    /** Returns the document of the latest version that was decoded; on any thread. */
    Optional<Document> latest();

    /**
     * Decodes a document that another box read.
     *
     * @param document the document
     * @return the configuration
     * @throws SourceException if the document is unreadable or of another version than it is said to be
     */
    RelayConfig decode(Document document) throws SourceException;
}
