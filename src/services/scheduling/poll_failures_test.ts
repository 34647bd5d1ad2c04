import * as assert from "uvu/assert";
import type { RunnerFailure } from "../../ports/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { PollFailures } from "./poll_failures.ts";
import { RunnerStatus } from "./runner_status.ts";
import {
  MAX_REFUSED_POLLS,
  MAX_REFUSED_RETRY_MS,
  REQUEST_RETRY_MS,
  RUN_LEASE_MS,
} from "./timing.ts";

const REFUSED: RunnerFailure = { refusal: "notListening", message: "" };
const UNANSWERED: RunnerFailure = { message: "" };
const UNUSED = { runCount: 0, hasOrphans: false, leaseLeftMs: RUN_LEASE_MS };
const PAUSES_MS = [
  REQUEST_RETRY_MS,
  2 * REQUEST_RETRY_MS,
  MAX_REFUSED_RETRY_MS,
  MAX_REFUSED_RETRY_MS,
];

function setUp(): { failures: PollFailures; status: RunnerStatus } {
  const status = new RunnerStatus(new FakeClock());
  return { failures: new PollFailures(status), status };
}

describe("PollFailures", () => {
  it("removes an unused runner after refused connections", () => {
    const { failures } = setUp();
    for (let count = 1; count < MAX_REFUSED_POLLS; count += 1) {
      assert.ok("pauseMs" in failures.record(REFUSED, UNUSED));
    }
    const step = failures.record(REFUSED, UNUSED);
    assert.equal(step, { removal: "notListening" });
  });

  // Guards against the removal of a runner that refused connections at times.
  it("counts only refusals in a row", () => {
    const { failures } = setUp();
    for (let count = 0; count < 2 * MAX_REFUSED_POLLS; count += 1) {
      failures.record(REFUSED, UNUSED);
      if (count % 2 === 0) {
        failures.recordAnswer();
      } else {
        failures.record(UNANSWERED, UNUSED);
      }
      const step = failures.record(REFUSED, UNUSED);
      assert.equal(step, { pauseMs: REQUEST_RETRY_MS });
      failures.recordAnswer();
    }
  });

  // Guards against a task that runs twice: its runner is removed while a lease
  // may be left.
  describe("waits for the leases, with longer and longer pauses,", () => {
    const uses = [
      { title: "of a runner with runs", context: { runCount: 1 } },
      { title: "of a runner with orphans", context: { hasOrphans: true } },
    ];
    for (const { title, context } of uses) {
      it(title, () => {
        const { failures } = setUp();
        for (const pauseMs of PAUSES_MS) {
          const step = failures.record(REFUSED, { ...UNUSED, ...context });
          assert.equal(step, { pauseMs });
        }
        const rest = { ...UNUSED, ...context, leaseLeftMs: 7 };
        assert.equal(failures.record(REFUSED, rest), { pauseMs: 7 });
        const over = { ...rest, leaseLeftMs: 0 };
        const step = failures.record(REFUSED, over);
        assert.equal(step, { removal: "leasesExpired" });
      });
    }
  });

  // Nothing listens then in place of either incarnation.
  it("takes a refusal by a leaving or replaced runner for its end", () => {
    for (const record of ["recordNotice", "recordReplaced"] as const) {
      const { failures, status } = setUp();
      status[record]();
      const step = failures.record(REFUSED, { ...UNUSED, runCount: 1 });
      assert.equal(step, { removal: "ended" });
    }
  });
});
