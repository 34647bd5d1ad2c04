/** Hands orders about zones to the leader while their senders wait for them. */
import { Result } from "true-myth";
import { type Failure, validateWith } from "../../domain/index.ts";
import type { Clock, EventLoopDelays, Logger } from "../../ports/index.ts";
import type { SchedulingClient } from "./controller_leader_client.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { HANG_UP_MS, ORDER_WAIT_MS } from "./timing.ts";
import {
  createLateOrder,
  type ZoneOrder,
  zoneTicketSchema,
} from "./zone_service.ts";

/** Options of {@link ZoneOrderSender}. */
export interface ZoneOrderSenderOptions {
  readonly leader: SchedulingClient;
  readonly clock: Clock;
  readonly eventLoop: EventLoopDelays;
  readonly logger: Logger;
}

/**
 * Sends each order with a ticket. The ticket is requested only while the sender
 * certainly waits: after that it may have sent the order to another controller,
 * and orders that contradict it later on.
 */
export class ZoneOrderSender {
  readonly #options: ZoneOrderSenderOptions;

  constructor(options: ZoneOrderSenderOptions) {
    this.#options = options;
  }

  /**
   * Hands an order to the leader.
   *
   * @param order - The order, which has just been received.
   * @param hungUp - Aborts when its sender closes the connection.
   * @returns Nothing once it is durable; `expired` if it was not carried out
   * because it came too late, or the failure of a call to the leader.
   */
  async send(
    order: ZoneOrder,
    hungUp: AbortSignal,
  ): Promise<Result<unknown, Failure>> {
    const { clock, leader, logger } = this.#options;
    const untilMs = this.#computeDeadlineMs();
    // The end of the connection may follow right behind the request.
    await clock.sleep(HANG_UP_MS);
    const refuseLate = () => {
      const overdueMs = clock.monotonicMs() - untilMs;
      if (!hungUp.aborted && overdueMs < 0) {
        return undefined;
      }
      logger.warn(
        { ...order, hasHungUp: hungUp.aborted, overdueMs },
        "drops a zone order that its sender may have given up",
      );
      return Result.err<unknown, Failure>(createLateOrder(order.zone));
    };
    const early = refuseLate();
    if (early !== undefined) {
      return early;
    }
    const issued = await leader.call(
      SCHEDULING_METHODS.zoneTicket,
      {},
      untilMs - clock.monotonicMs(),
    );
    const ticket = issued.andThen((value) =>
      validateWith(zoneTicketSchema, value, {
        subject: "zone ticket",
        kind: "internal",
      })
    );
    if (ticket.isErr) {
      return Result.err(ticket.error);
    }
    return refuseLate() ?? await leader.call(
      SCHEDULING_METHODS.setZone,
      { ...order, ticket: ticket.value },
      untilMs - clock.monotonicMs(),
    );
  }

  // A request may have waited for as long as the event loop was late.
  #computeDeadlineMs(): number {
    const { clock, eventLoop } = this.#options;
    const nowMs = clock.monotonicMs();
    const lateMs = eventLoop.findLongestDelayMs(nowMs - ORDER_WAIT_MS);
    return nowMs + ORDER_WAIT_MS - lateMs;
  }
}
