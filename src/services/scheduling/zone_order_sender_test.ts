import { Result } from "true-myth";
import * as assert from "uvu/assert";
import type { Failure } from "../../domain/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { SCHEDULING_METHODS } from "./scheduling_handlers.ts";
import { ORDER_WAIT_MS } from "./timing.ts";
import { ZoneOrderSender } from "./zone_order_sender.ts";

const ORDER = { zone: "zone-a", isOut: false };
const TICKET = { term: 3, orderCount: 4 };
const ANSWER_MS = 5;
const WAIT_MS = 10_000;

interface Call {
  readonly method: string;
  readonly body: unknown;
}

/** Sends an order through a process whose event loop may have been late. */
class OrderRun {
  readonly clock = new FakeClock();
  readonly hangUp = new AbortController();
  readonly calls: Call[] = [];
  /** By how much the event loop was late before the order was read (ms). */
  lateMs = 0;
  /** Time until the leader issues a ticket (ms). */
  ticketMs = ANSWER_MS;

  async send(): Promise<Result<unknown, Failure>> {
    const sender = new ZoneOrderSender({
      clock: this.clock,
      eventLoop: { findLongestDelayMs: () => this.lateMs },
      logger: new FakeLogger(),
      leader: {
        leaderId: "a",
        leaderTerm: TICKET.term,
        call: async (method, body) => {
          this.calls.push({ method, body });
          const isTicket = method === SCHEDULING_METHODS.zoneTicket;
          await this.clock.sleep(isTicket ? this.ticketMs : ANSWER_MS);
          return Result.ok(isTicket ? TICKET : {});
        },
      },
    });
    return await this.clock.runUntil(
      sender.send(ORDER, this.hangUp.signal),
      WAIT_MS,
    );
  }

  get hasOrdered(): boolean {
    return this.calls.some(({ method }) =>
      method === SCHEDULING_METHODS.setZone
    );
  }
}

describe("an order about a zone at a controller", () => {
  it("is handed to the leader with a ticket", async () => {
    const run = new OrderRun();
    assert.ok((await run.send()).isOk);
    assert.equal(run.calls, [
      { method: SCHEDULING_METHODS.zoneTicket, body: {} },
      {
        method: SCHEDULING_METHODS.setZone,
        body: { ...ORDER, ticket: TICKET },
      },
    ]);
  });

  // Guards against an order that is carried out a second time: its copy had
  // waited at a suspended controller, while another one acknowledged it.
  it("is dropped if the process was suspended before it was read", async () => {
    const run = new OrderRun();
    run.lateMs = ORDER_WAIT_MS;
    const sent = await run.send();
    assert.is(sent.isErr && sent.error.kind, "expired");
    assert.equal(run.calls, []);
  });

  it("is sent if the event loop was late by a part of the wait", async () => {
    const run = new OrderRun();
    run.lateMs = ORDER_WAIT_MS / 2;
    assert.ok((await run.send()).isOk);
  });

  it("is dropped if its sender has hung up", async () => {
    const run = new OrderRun();
    void run.clock.sleep(1).then(() => run.hangUp.abort());
    const sent = await run.send();
    assert.is(sent.isErr && sent.error.kind, "expired");
    assert.equal(run.calls, []);
  });

  it("is dropped if the ticket arrives after the wait", async () => {
    const run = new OrderRun();
    run.ticketMs = ORDER_WAIT_MS;
    const sent = await run.send();
    assert.is(sent.isErr && sent.error.kind, "expired");
    assert.not(run.hasOrdered);
  });
});
