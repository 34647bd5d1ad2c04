import { once } from "node:events";
import { connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
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

    it("does not go back when the wall clock does", () => {
      const { clock, times } = createClock();
      times.wallMs -= 2_000;
      times.steadyMs += 10;
      assert.is(clock.monotonicMs(), 60);
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
