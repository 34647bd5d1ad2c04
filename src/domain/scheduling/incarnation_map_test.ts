import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { IncarnationMap } from "./incarnation_map.ts";

interface Value {
  readonly name: string;
}

const FIRST: Value = { name: "first" };
const SECOND: Value = { name: "second" };

describe("IncarnationMap", () => {
  it("keeps the incarnations of one runner apart", () => {
    const map = new IncarnationMap<Value>();
    map.set({ runnerId: "r1", bornAtMs: 1 }, FIRST);
    map.set({ runnerId: "r1", bornAtMs: 2 }, SECOND);
    map.delete({ runnerId: "r1", bornAtMs: 1 });
    assert.is(map.get({ runnerId: "r1", bornAtMs: 1 }), undefined);
    assert.is(map.get({ runnerId: "r1", bornAtMs: 2 }), SECOND);
    assert.equal([...map.values()], [SECOND]);
  });

  it("finds nothing after the last incarnation was removed", () => {
    const map = new IncarnationMap<Value>();
    const incarnation = { runnerId: "r1", bornAtMs: 1 };
    map.set(incarnation, FIRST);
    map.delete(incarnation);
    map.delete(incarnation);
    assert.is(map.get(incarnation), undefined);
    assert.equal([...map.values()], []);
  });

  it("keeps the newest value of an incarnation", () => {
    const map = new IncarnationMap<Value>();
    const incarnation = { runnerId: "r1", bornAtMs: 1 };
    map.set(incarnation, FIRST);
    map.set(incarnation, SECOND);
    assert.is(map.get(incarnation), SECOND);
    assert.equal([...map.values()], [SECOND]);
  });

  it("allows values to be removed while it is iterated", () => {
    const map = new IncarnationMap<Value>();
    for (let index = 0; index < 3; index += 1) {
      map.set({ runnerId: `r${index}`, bornAtMs: 1 }, { name: `r${index}` });
    }
    const seen: string[] = [];
    for (const { name } of map.values()) {
      seen.push(name);
      map.delete({ runnerId: name, bornAtMs: 1 });
    }
    assert.equal(seen, ["r0", "r1", "r2"]);
    assert.equal([...map.values()], []);
  });

  // Guards against a leader that builds a key for each runner after each commit.
  it("reads the id of an incarnation only to look it up", () => {
    const map = new IncarnationMap<Value>();
    const runnerId = {
      toString: () => {
        throw new Error("an id was formatted");
      },
    } as unknown as string;
    map.set({ runnerId, bornAtMs: 1 }, FIRST);
    assert.is(map.get({ runnerId, bornAtMs: 1 }), FIRST);
    map.delete({ runnerId, bornAtMs: 1 });
    assert.is(map.get({ runnerId, bornAtMs: 1 }), undefined);
  });
});
