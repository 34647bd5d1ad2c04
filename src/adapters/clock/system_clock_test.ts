import { once } from "node:events";
import { connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  FRESHNESS_LEASE_MS,
  LEADER_LEASE_MS,
  MIN_ELECTION_TIMEOUT_MS,
} from "../../replication/timing.ts";
import { PERMIT_LEASE_MS } from "../../services/permits/permit_times.ts";
import { SystemClock } from "./system_clock.ts";

function createClock() {
  const times = {
    wallMs: 1_000_000,
    steadyMs: 50,
    readWallMs: () => times.wallMs,
  };
  const clock = new SystemClock({
    wallMs: () => times.readWallMs(),
    steadyMs: () => times.steadyMs,
  });
  return { clock, times };
}

describe("system clock", () => {
  describe("elapsed time", () => {
    it("follows the steady clock when both agree", () => {
      const { clock, times } = createClock();
      times.wallMs += 400;
      times.steadyMs += 400;
      assert.is(clock.monotonicMs(), 450);
    });

    it("includes a suspension during which the steady clock stopped", () => {
      const { clock, times } = createClock();
      times.wallMs += 5_000;
      times.steadyMs += 1;
      assert.is(clock.monotonicMs(), 5_050);
    });

    // Guards against time that counts twice: the process waited for a processor
    // between its readings of the two clocks.
    it("counts a wait between two readings once", () => {
      const { clock, times } = createClock();
      const delaysMs = [400, 0];
      times.readWallMs = () => {
        const wallMs = times.wallMs;
        const delayMs = delaysMs.shift() ?? 0;
        times.wallMs += delayMs;
        times.steadyMs += delayMs;
        return wallMs;
      };
      clock.monotonicMs();
      assert.is(clock.monotonicMs(), 450);
    });

    it("follows the steady clock while the wall clock is adjusted slowly", () => {
      const { clock, times } = createClock();
      for (let passedMs = 0; passedMs < 10_000; passedMs += 100) {
        times.wallMs += 100 + Math.sign(passedMs - 5_000);
        times.steadyMs += 100;
        clock.monotonicMs();
      }
      assert.is(clock.monotonicMs(), 10_050);
    });

    // Guards against a leader that relies on its lease after a suspension which
    // a wall clock that was set back hides.
    for (const wallStepMs of [-2_000, -900, 900]) {
      it(`covers every lease after the wall clock moved by ${wallStepMs} ms within 10 ms`, () => {
        const { clock, times } = createClock();
        times.wallMs += wallStepMs;
        times.steadyMs += 10;
        const longestMs = Math.max(
          LEADER_LEASE_MS,
          FRESHNESS_LEASE_MS,
          PERMIT_LEASE_MS,
        );
        assert.ok(clock.monotonicMs() >= 50 + longestMs);
      });
    }

    // Guards against a lease that outlasts the votes that it relies on.
    it("includes a suspension as short as the margin of the leader lease", () => {
      const { clock, times } = createClock();
      times.wallMs += MIN_ELECTION_TIMEOUT_MS - LEADER_LEASE_MS;
      assert.ok(
        clock.monotonicMs() >= 50 + MIN_ELECTION_TIMEOUT_MS - LEADER_LEASE_MS,
      );
    });
  });

  describe("steady time", () => {
    // Guards against leases of runners that seem to have expired because the
    // leader's wall clock was set.
    it("ignores a wall clock that is set ahead", () => {
      const { clock, times } = createClock();
      times.wallMs += 5_000;
      times.steadyMs += 10;
      clock.monotonicMs();
      assert.is(clock.steadyMs(), 60);
    });
  });

  describe("timers of a busy process", () => {
    // Guards against timeouts that a busy leader reports although the answer
    // already waits in its socket.
    it("fire after the input that arrived meanwhile is read", async () => {
      const clock = new SystemClock();
      const server = createServer().listen(0, "127.0.0.1");
      await once(server, "listening");
      const address = server.address();
      assert.ok(address !== null && typeof address === "object");
      const accepted = once(server, "connection");
      const socket = connect(address.port, "127.0.0.1");
      const [peer] = await accepted;
      const order: string[] = [];
      socket.on("data", () => order.push("input"));
      const isOver = new Promise<void>((resolve) => {
        clock.startTimer(5, () => {
          order.push("timer");
          resolve();
        });
      });
      peer.write("answer");
      keepBusyFor(30);
      await isOver;
      socket.destroy();
      server.close();
      assert.equal(order, ["input", "timer"]);
    });

    it("do not fire once they are cancelled", async () => {
      const clock = new SystemClock();
      let hasFired = false;
      const cancel = clock.startTimer(5, () => {
        hasFired = true;
      });
      keepBusyFor(10);
      cancel();
      await clock.sleep(20);
      assert.is(hasFired, false);
    });
  });
});

function keepBusyFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
