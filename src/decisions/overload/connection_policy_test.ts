import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import {
  type ConnectionExcess,
  type ConnectionView,
  LongestWaitPolicy,
  NewestFirstPolicy,
} from "./connection_policy.ts";

function createView(parts: Partial<ConnectionView> = {}): ConnectionView {
  return {
    waitingSinceMs: 0,
    isUnfinished: false,
    heldBytes: 0,
    ...parts,
  };
}

const SERVED = createView({ waitingSinceMs: undefined, heldBytes: 9 });
const IDLE = createView({ waitingSinceMs: 30 });
const UNFINISHED = createView({
  waitingSinceMs: 20,
  isUnfinished: true,
  heldBytes: 5,
});
const EMPTY_BODY = createView({ waitingSinceMs: 10, isUnfinished: true });
const NEW = createView({ waitingSinceMs: 90 });
const ALL = [SERVED, IDLE, UNFINISHED, EMPTY_BODY, NEW];

describe("choice of connections to close", () => {
  const policy = new LongestWaitPolicy();

  describe("takes", () => {
    const expected: [ConnectionExcess, ConnectionView][] = [
      ["connections", EMPTY_BODY],
      ["heldBytes", UNFINISHED],
    ];
    for (const [excess, view] of expected) {
      it(`the one that has waited longest, ${excess}`, () => {
        assert.is(policy.choose(excess, ALL), view);
        assert.is(policy.choose(excess, ALL.toReversed()), view);
      });
    }

    it("one that stays, not one that comes later", () => {
      const staying = Array.from(
        { length: 5 },
        (_, at) => createView({ waitingSinceMs: at }),
      );
      assert.is(policy.choose("connections", [...staying, NEW]), staying[0]);
    });
  });

  it("takes none whose whole request the server has to answer", () => {
    assert.is(policy.choose("connections", [SERVED]), undefined);
    assert.is(policy.choose("heldBytes", [SERVED, IDLE]), undefined);
  });

  it("takes the one that exceeded the limit, as baseline", () => {
    const baseline = new NewestFirstPolicy();
    assert.is(baseline.choose("connections", ALL, NEW), NEW);
  });
});
