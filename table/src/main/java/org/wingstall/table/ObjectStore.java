package org.wingstall.table;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store, for answers too large for a row.
 *
 * <p>{@code store.put("answers/kgn-a-1.7.42", bytes);}
 *
 * @since 0.1
 */
public interface ObjectStore {
    /** Writes an object whole. */
    CompletableFuture<Void> put(String name, byte[] content);

    /** Reads an object whole. */
    CompletableFuture<byte[]> get(String name);
}
