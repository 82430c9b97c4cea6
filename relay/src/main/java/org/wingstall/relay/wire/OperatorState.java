package org.wingstall.relay.wire;

import java.util.Optional;
import org.wingstall.relay.config.Evacuations;
import org.wingstall.relay.config.RelayConfig;

/**
 * The configuration and evacuations that operators set, as read from their source.
 *
 * <p>{@code update.config().ifPresent(version -> state.offer(version, "store"));}
 *
 * @param config the configuration; empty when there is none, or none newer than that of the last response
 * @param evacuations all evacuated failure domains
 * @since 0.8
 */
public record OperatorState(Optional<RelayConfig> config, Evacuations evacuations) {}
