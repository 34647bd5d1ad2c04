import * as assert from "uvu/assert";
import { SeededRandom } from "../../adapters/random/index.ts";
import {
  FleetIndexCache,
  TwoChoicesPicker,
  WeightedMaxMinAllocator,
} from "../../decisions/index.ts";
import { describe, it } from "../../testing/describe.ts";
import { FakeAgreement } from "../../testing/fake_agreement.ts";
import { FakeClock } from "../../testing/fake_clock.ts";
import { PausableClock } from "../../testing/pausable_clock.ts";
import { PermitLedger } from "./permit_ledger.ts";
import { PERMIT_LEASE_MS } from "./permit_times.ts";

const ENTRY_ID = "entry-1";

function createLedger() {
  const time = new FakeClock();
  const clock = new PausableClock(time);
  const agreement = new FakeAgreement(clock);
  const ledger = new PermitLedger({
    coordinatorId: "1.test",
    leaderSinceMs: clock.steadyMs(),
    entryIds: [ENTRY_ID],
    agreement,
    clock,
    fleet: new FleetIndexCache(() => agreement.state),
    allocator: new WeightedMaxMinAllocator(),
    picker: new TwoChoicesPicker(new SeededRandom(1)),
    onSession: () => undefined,
  });
  ledger.handleReport(ENTRY_ID, {
    runStartedAtMs: 0,
    sequence: 1,
    held: [],
    acknowledgedGrant: 0,
    returns: [],
    wants: [],
    announcements: [],
    membershipVersion: 0,
    sinceReplyMs: 0,
    repliedAtMs: 0,
  });
  return { clock, ledger, time };
}

describe("the session of an entry that is silent", () => {
  // Guards against a team that exceeds its limit: permits were granted again
  // while the entry that holds them could still use them.
  it("does not end because the coordinator's wall clock was set ahead", async () => {
    const { clock, ledger, time } = createLedger();
    clock.setAhead(10 * PERMIT_LEASE_MS);
    ledger.sweep();
    assert.ok(ledger.findSession(ENTRY_ID));
    await time.advance(2 * PERMIT_LEASE_MS);
    ledger.sweep();
    assert.is(ledger.findSession(ENTRY_ID), undefined);
  });
});
