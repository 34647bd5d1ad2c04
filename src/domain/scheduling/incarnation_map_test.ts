import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { IncarnationMap } from "./incarnation_map.ts";

describe("IncarnationMap", () => {
  it("keeps the incarnations of one runner apart", () => {
    const map = new IncarnationMap<string>();
    map.set({ runnerId: "r1", bornAtMs: 1 }, "first");
    map.set({ runnerId: "r1", bornAtMs: 2 }, "second");
    map.delete({ runnerId: "r1", bornAtMs: 1 });
    assert.is(map.get({ runnerId: "r1", bornAtMs: 1 }), undefined);
    assert.is(map.get({ runnerId: "r1", bornAtMs: 2 }), "second");
    assert.equal([...map.values()], ["second"]);
  });

  it("finds nothing after the last incarnation was removed", () => {
    const map = new IncarnationMap<string>();
    const incarnation = { runnerId: "r1", bornAtMs: 1 };
    map.set(incarnation, "only");
    map.delete(incarnation);
    map.delete(incarnation);
    assert.is(map.get(incarnation), undefined);
    assert.equal([...map.values()], []);
  });

  it("allows values to be removed while it is iterated", () => {
    const map = new IncarnationMap<number>();
    for (let index = 0; index < 3; index += 1) {
      map.set({ runnerId: `r${index}`, bornAtMs: index }, index);
    }
    const seen: number[] = [];
    for (const value of map.values()) {
      seen.push(value);
      map.delete({ runnerId: `r${value}`, bornAtMs: value });
    }
    assert.equal(seen, [0, 1, 2]);
    assert.equal([...map.values()], []);
  });

  // Guards against a leader that builds a key for each runner after each commit.
  it("reads the id of an incarnation only to look it up", () => {
    const map = new IncarnationMap<string>();
    const runnerId = {
      toString: () => {
        throw new Error("an id was formatted");
      },
    } as unknown as string;
    map.set({ runnerId, bornAtMs: 1 }, "value");
    assert.is(map.get({ runnerId, bornAtMs: 1 }), "value");
    map.delete({ runnerId, bornAtMs: 1 });
    assert.is(map.get({ runnerId, bornAtMs: 1 }), undefined);
  });
});
