import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { TaskGroup } from "../../../tasks/index.ts";
import { describe, it } from "../../../testing/describe.ts";
import { FakeClock } from "../../../testing/fake_clock.ts";
import { FakeLogger } from "../../../testing/fake_ports.ts";
import { RelayLink } from "./relay_link.ts";
import type { RelayedAnswer, RelayedRequest } from "./relay_messages.ts";

const TIMEOUT_MS = 700;

interface SentStop {
  readonly answered: Promise<RelayedAnswer | undefined>;
}

/** A link to a relay whose answers the test hands over. */
class LinkSite {
  readonly clock = new FakeClock();
  readonly link: RelayLink;
  readonly #tasks: TaskGroup;
  /** Requests that the relay has received, by the index of their task. */
  readonly #received = new Map<number, RelayedRequest>();

  constructor() {
    const { clock } = this;
    const logger = new FakeLogger();
    this.#tasks = new TaskGroup({ clock, logger });
    this.link = new RelayLink({
      relayId: "relay",
      sessionId: "session",
      network: {
        call: (_peerId, _method, body) => {
          const { requests } = body as { requests: RelayedRequest[] };
          for (const each of requests) {
            if (each.kind === "stop") {
              this.#received.set(each.request.task.index, each);
            }
          }
          return Promise.resolve(Result.ok({}));
        },
        handle: () => undefined,
      },
      clock,
      logger,
      onLost: () => undefined,
    });
    this.#tasks.start("relay", (signal) => this.link.run(signal));
  }

  /** Sends a stop and waits until the relay has it. */
  async send(index: number): Promise<SentStop> {
    const task = { jobId: "0".repeat(16), occurrence: 0, step: 0, index };
    const answered = this.link.call({
      kind: "stop",
      runner: { runnerId: "r1", address: "10.0.0.1:80" },
      request: { task, runNumber: 1 },
      fencingToken: 1,
    }, TIMEOUT_MS);
    await this.clock.advance(TIMEOUT_MS / 10);
    return { answered };
  }

  /** Hands over the answers to stops, each with its index as the clock. */
  receive(...indexes: readonly number[]): void {
    this.link.receive(indexes.map((index) => {
      const { callId } = this.#received.get(index) ?? { callId: -1 };
      return { callId, clockMs: index };
    }));
  }

  async stop(): Promise<void> {
    await this.clock.runUntil(this.#tasks.stop(), TIMEOUT_MS);
  }
}

// Guards against a stop that counts as confirmed by the answer to another one.
describe("a link to a relay", () => {
  describe("gives each request its own answer", () => {
    it("when answers overtake each other and are repeated", async () => {
      const site = new LinkSite();
      const first = await site.send(1);
      const second = await site.send(2);
      site.receive(2, 2, 1);
      const third = await site.send(3);
      site.receive(1, 2);
      site.receive(3);
      const answers = await Promise.all(
        [first, second, third].map(({ answered }) => answered),
      );
      assert.equal(answers.map((answer) => answer?.clockMs), [1, 2, 3]);
      await site.stop();
    });

    it("when the answer before it comes after its timeout", async () => {
      const site = new LinkSite();
      const first = await site.send(1);
      await site.clock.advance(TIMEOUT_MS);
      const second = await site.send(2);
      site.receive(1);
      site.receive(2);
      const answers = await Promise.all(
        [first, second].map(({ answered }) => answered),
      );
      assert.equal(answers.map((answer) => answer?.clockMs), [undefined, 2]);
      await site.stop();
    });
  });
});
