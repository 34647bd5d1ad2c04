/** The leader's service for orders that take zones in and out of service. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  createFailure,
  type Failure,
  validateWith,
} from "../../domain/index.ts";
import type { Logger } from "../../ports/index.ts";
import type { SchedulingLog } from "./scheduling_log.ts";

/** Schema of {@link ZoneOrder}. */
export const zoneOrderSchema = v.object({
  zone: v.pipe(v.string(), v.minLength(1)),
  isOut: v.boolean(),
});

/** An order to take a zone out of service or back into service. */
export type ZoneOrder = v.InferOutput<typeof zoneOrderSchema>;

/** Schema of {@link ZoneTicket}. */
export const zoneTicketSchema = v.object({
  /** Term of the leader that issued the ticket. */
  term: v.number(),
  /** Number of orders that this leader had taken up. */
  orderCount: v.number(),
});

/**
 * Allows one order, as long as no other one has been taken up since the ticket
 * was issued. The orders themselves have no number, so that a late copy looks
 * like a new order.
 */
export type ZoneTicket = v.InferOutput<typeof zoneTicketSchema>;

/** Schema of an order with its ticket. */
export const ticketedZoneOrderSchema = v.object({
  ...zoneOrderSchema.entries,
  ticket: zoneTicketSchema,
});

/** Options of {@link ZoneService}. */
export interface ZoneServiceOptions {
  /** The log of the leader's term. */
  readonly log: SchedulingLog;
  readonly logger: Logger;
  /** The leader's term. */
  readonly fencingToken: number;
}

/** Takes zones in and out of service for as long as one leader leads. */
export class ZoneService {
  readonly #options: ZoneServiceOptions;
  #orderCount = 0;
  /** Number of orders that are being recorded. */
  #pendingCount = 0;
  /** Position among the orders of the newest one that is recorded. */
  #recordedPosition = 0;
  /** The same of the newest one that may be recorded, or not. */
  #unknownPosition = 0;

  constructor(options: ZoneServiceOptions) {
    this.#options = options;
  }

  /** Issues a ticket for the next order. */
  issueTicket(): ZoneTicket {
    const { fencingToken: term } = this.#options;
    return { term, orderCount: this.#orderCount };
  }

  /**
   * Takes a zone out of service or back into service.
   *
   * @param body - The order with its ticket, not validated yet.
   * @returns Nothing once it is durable; `invalidInput`, `expired` if another
   * order was taken up after the ticket was issued, or why it is not durable.
   */
  async setZone(body: unknown): Promise<Result<unknown, Failure>> {
    const { log, logger } = this.#options;
    const checked = validateWith(ticketedZoneOrderSchema, body, {
      subject: "zone",
    });
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const { zone, isOut, ticket } = checked.value;
    if (this.#isSettled && log.state.zonesOut.has(zone) === isOut) {
      this.#orderCount += 1;
      return Result.ok({});
    }
    const current = this.issueTicket();
    if (
      ticket.term !== current.term || ticket.orderCount !== current.orderCount
    ) {
      logger.warn(
        { zone, isOut, ticket, current },
        "ignores a late zone order",
      );
      return Result.err(createLateOrder(zone));
    }
    logger.info(
      { zone, isOut },
      isOut
        ? "taking a zone out of service"
        : "taking a zone back into service",
    );
    return await this.#record({ zone, isOut });
  }

  // An order whose outcome is unknown may take effect until a later one has.
  get #isSettled(): boolean {
    return this.#pendingCount === 0 &&
      this.#unknownPosition <= this.#recordedPosition;
  }

  async #record(order: ZoneOrder): Promise<Result<unknown, Failure>> {
    this.#orderCount += 1;
    const position = this.#orderCount;
    this.#pendingCount += 1;
    const proposed = await this.#options.log.propose([
      { type: "zone", ...order },
    ]);
    this.#pendingCount -= 1;
    if (proposed.isOk) {
      this.#recordedPosition = Math.max(this.#recordedPosition, position);
    } else {
      this.#unknownPosition = Math.max(this.#unknownPosition, position);
    }
    return proposed;
  }
}

/**
 * Creates the failure of an order that its sender may have given up, and that
 * was not carried out.
 *
 * @param zone - Name of the zone.
 */
export function createLateOrder(zone: string): Failure {
  return createFailure(
    "expired",
    `the order about zone ${zone} may be older than others that were carried out`,
    { remedy: "send the order again" },
  );
}
