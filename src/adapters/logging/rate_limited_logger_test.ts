import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLogger } from "../../testing/fake_ports.ts";
import { RateLimitedLogger } from "./rate_limited_logger.ts";

describe("rate-limited logger", () => {
  function setUp() {
    const inner = new FakeLogger();
    const clock = new FakeClock();
    const logger = new RateLimitedLogger({
      inner,
      clock,
      maxLinesPerSecond: 3,
    });
    return { inner, clock, logger };
  }

  // Guards against a log line for each refusal when a caller floods the entry.
  it("limits the lines per second of a message", async () => {
    const { inner, clock, logger } = setUp();
    for (let at = 0; at < 10; at += 1) {
      logger.info({ at }, "refused a call");
    }
    assert.is(inner.lines.length, 3);
    await clock.advance(1_000);
    logger.info({ at: 10 }, "refused a call");
    assert.equal(inner.lines.at(-1)?.fields, { at: 10, omittedCount: 7 });
  });

  it("limits each message separately", () => {
    const { inner, logger } = setUp();
    for (let at = 0; at < 5; at += 1) {
      logger.info({}, "refused a call");
    }
    logger.warn({}, "a dependency is lost");
    assert.is(inner.lines.at(-1)?.message, "a dependency is lost");
  });

  it("counts the lines of parent and children together", () => {
    const { inner, logger } = setUp();
    const child = logger.child({ node: "a" });
    logger.info({}, "refused a call");
    child.info({}, "refused a call");
    child.info({}, "refused a call");
    child.info({}, "refused a call");
    logger.info({}, "refused a call");
    assert.is(inner.lines.length, 3);
  });
});
