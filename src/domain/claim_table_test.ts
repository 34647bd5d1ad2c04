import * as assert from "uvu/assert";
import { describe, it } from "../testing/index.ts";
import { ClaimTable, MAX_KEPT_CLAIMS } from "./claim_table.ts";
import type { Claim } from "./command.ts";

const LEASE_MS = 1_000;

function createClaim(parts: Partial<Claim> = {}): Claim {
  return {
    claimId: "team/queue/key",
    contentDigest: "d",
    requestId: "r1",
    entryId: "entry-1",
    atMs: 0,
    leaseMs: LEASE_MS,
    state: "running",
    ...parts,
  };
}

describe("ClaimTable", () => {
  describe("applies a command after others", () => {
    const own = { requestId: "r1" };
    const other = { requestId: "r2" };
    const cases: readonly {
      readonly title: string;
      readonly before: readonly Partial<Claim>[];
      readonly command: Partial<Claim>;
      readonly resulting: Partial<Claim>;
    }[] = [
      {
        title: "a second request does not take a running claim",
        before: [own],
        command: other,
        resulting: { ...own, state: "running" },
      },
      {
        title: "a second request takes a claim when the first one did not run",
        before: [own, { ...own, state: "notRun" }],
        command: other,
        resulting: { ...other, state: "running" },
      },
      {
        title: "a second request does not take a claim that succeeded",
        before: [own, { ...own, state: "succeeded", status: 200 }],
        command: other,
        resulting: { ...own, state: "succeeded", status: 200 },
      },
      {
        title: "a second request does not settle the claim of the first one",
        before: [own],
        command: { ...other, state: "notRun" },
        resulting: { ...own, state: "running" },
      },
      {
        title: "a delayed duplicate does not reopen a settled claim",
        before: [own, { ...own, state: "notRun" }],
        command: own,
        resulting: { ...own, state: "notRun" },
      },
      {
        title: "a claim that is applied after its settlement does not run",
        before: [{ ...own, state: "notRun" }],
        command: own,
        resulting: { ...own, state: "notRun" },
      },
      {
        title: "a delayed settlement does not change another request's claim",
        before: [own, { ...own, state: "notRun" }, other],
        command: { ...own, state: "unknown" },
        resulting: { ...other, state: "running" },
      },
    ];
    for (const { title, before, command, resulting } of cases) {
      it(title, () => {
        const table = new ClaimTable();
        table.apply(before.map(createClaim));
        const [found] = table.apply([createClaim(command)]);
        assert.equal(found, createClaim(resulting));
      });
    }
  });

  it("drops the oldest claims, except those whose work may still run", () => {
    const table = new ClaimTable();
    table.apply([
      createClaim({ claimId: "long", leaseMs: 1_000_000 }),
      createClaim({ claimId: "short" }),
    ]);
    table.apply(
      Array.from(
        { length: MAX_KEPT_CLAIMS },
        (_, at) =>
          createClaim({
            claimId: `c${at}`,
            atMs: 2 * LEASE_MS,
            state: "succeeded",
          }),
      ),
    );
    assert.ok(table.find("long") !== undefined);
    assert.is(table.find("short"), undefined);
    assert.is(table.list().length, MAX_KEPT_CLAIMS);
  });

  it("is restored from a snapshot", () => {
    const table = new ClaimTable();
    table.apply([createClaim(), createClaim({ claimId: "b" })]);
    const copy = new ClaimTable();
    copy.restore(table.list(), table.newestAtMs);
    assert.equal(copy.list(), table.list());
  });

  it("drops the same claims as a restored copy when clocks differ", () => {
    const table = new ClaimTable();
    // An entry whose clock was ahead took and settled this claim first, so it
    // is the newest by time but the first one to be dropped.
    const ahead = createClaim({ claimId: "ahead", atMs: 1_000_000 });
    table.apply([ahead]);
    table.apply([{ ...ahead, state: "succeeded" }]);
    table.apply(
      Array.from(
        { length: MAX_KEPT_CLAIMS },
        (_, at) => createClaim({ claimId: `c${at}` }),
      ),
    );
    assert.is(table.find("ahead"), undefined);
    const copy = new ClaimTable();
    copy.restore(table.list(), table.newestAtMs);
    const more = createClaim({ claimId: "more" });
    table.apply([more]);
    copy.apply([more]);
    assert.equal(copy.list(), table.list());
  });
});
