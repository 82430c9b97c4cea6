package org.wingstall.relay.wire;

import java.util.OptionalDouble;

/**
 * What an endpoint says of its state when it is asked; some hundred ms old already when it comes.
 *
 * <p>{@code report.mostFreeBytes().ifPresent(free -> ledger.foundAtFirst(id, spec, free));}
 *
 * @param mostFreeBytes most room for results of stages that it may have; empty when it does no such work
 * @since 0.5
 */
public record EndpointReport(OptionalDouble maxFreeBytes) {}
