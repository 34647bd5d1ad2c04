import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { SystemClock } from "./system_clock.ts";

function createClock() {
  const times = { wallMs: 1_000_000, steadyMs: 50 };
  const clock = new SystemClock({
    wallMs: () => times.wallMs,
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

    it("does not go back when the wall clock does", () => {
      const { clock, times } = createClock();
      times.wallMs -= 2_000;
      times.steadyMs += 10;
      assert.is(clock.monotonicMs(), 60);
    });
  });
});
