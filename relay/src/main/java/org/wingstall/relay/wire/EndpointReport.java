package org.wingstall.relay.wire;

import java.util.OptionalDouble;

/**
 * The response of an endpoint to a state query; already some hundred ms old when it arrives.
 *
 * <p>{@code report.maxFreeBytes().ifPresent(free -> capacity.recordInitialFreeBytes(id, spec, free));}
 *
 * @param maxFreeBytes upper bound of its free capacity for stage results; empty when it runs no stages
 * @since 0.5
 */
public record EndpointReport(OptionalDouble maxFreeBytes) {}
