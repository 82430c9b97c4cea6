package org.wingstall.relay.config;

import java.util.List;

/**
 * A stage before a request: pieces of work whose results later stages or the request itself read.
 *
 * <p>{@code new StageSpec(1, "kitchen-board", List.of(0), 60_000)}
 *
 * @param index number of the stage on its route, from 0
 * @param service service whose endpoints do the work
 * @param dependencies indexes of the stages whose results it reads
 * @param resultBytes approximate size of one result
 * @since 0.2
 */
public record StageSpec(int index, String service, List<Integer> dependencies, long resultBytes) {}
