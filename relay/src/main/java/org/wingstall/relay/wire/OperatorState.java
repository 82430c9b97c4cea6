package org.wingstall.relay.wire;

import java.util.Optional;
import org.wingstall.relay.config.Evacuations;
import org.wingstall.relay.config.RelayConfig;

/**
 * What operators want, as read from its source.
 *
 * <p>{@code news.config().ifPresent(version -> state.offer(version, "store"));}
 *
 * @param config the configuration; empty when there is none, or none that is newer than the last answer's
 * @param evacuations the failure domains that are evacuated, all of them
 * @since 0.8
 */
public record OperatorState(Optional<RelayConfig> config, Evacuations evacuations) {}
