import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import {
  FRESHNESS_LEASE_MS,
  FreshnessLeaseWait,
  IN_FORCE_MARGIN_MS,
} from "./in_force.ts";
import { ReportConfirmation } from "./report_confirmation.ts";

const VM = "vm-1";
const WAIT_MS = FRESHNESS_LEASE_MS + IN_FORCE_MARGIN_MS;

function setUp() {
  const time = new FakeClock();
  return { time, clock: new PausableClock(time) };
}

describe("a controller whose wall clock is set ahead", () => {
  // Guards against a VM that is drained while an entry that is cut off still
  // sends it work under its lease.
  it("waits for the freshness leases of entries all the same", async () => {
    const { clock, time } = setUp();
    const wait = new FreshnessLeaseWait(clock);
    assert.not(wait.isInForce(VM, "step-1"));
    clock.setAhead(WAIT_MS);
    assert.not(wait.isInForce(VM, "step-1"));
    await time.advance(WAIT_MS);
    assert.ok(wait.isInForce(VM, "step-1"));
  });

  // Guards against a VM that counts as lost after one report.
  it("needs a report for its whole time all the same", async () => {
    const { clock, time } = setUp();
    const reports = new ReportConfirmation(clock);
    reports.isUnchangedFor(VM, "down", WAIT_MS);
    clock.setAhead(WAIT_MS);
    assert.not(reports.isUnchangedFor(VM, "down", WAIT_MS));
    await time.advance(WAIT_MS);
    assert.ok(reports.isUnchangedFor(VM, "down", WAIT_MS));
  });
});
