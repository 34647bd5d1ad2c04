import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { CallbackList } from "./callback_list.ts";

function createList(...names: readonly string[]) {
  const list = new CallbackList();
  const called: string[] = [];
  const add = (name: string) => list.add(() => called.push(name));
  return { list, called, add, removes: names.map(add) };
}

describe("a list of callbacks", () => {
  it("calls each once, in the order in which they were added", () => {
    const { list, called } = createList("a", "b", "c");
    list.callAll();
    list.callAll();
    assert.equal(called, ["a", "b", "c"]);
  });

  for (const [at, left] of [["b", "c"], ["a", "c"], ["a", "b"]].entries()) {
    it(`does not call the one at ${at} once it is removed`, () => {
      const { list, called, add, removes } = createList("a", "b", "c");
      removes[at]?.();
      removes[at]?.();
      add("d");
      list.callAll();
      assert.equal(called, [...left, "d"]);
    });
  }

  it("calls those that are added during a call the next time", () => {
    const { list, called, add } = createList();
    list.add(() => add("next"));
    list.callAll();
    assert.equal(called, []);
    list.callAll();
    assert.equal(called, ["next"]);
  });

  it("is not changed by a removal after the call", () => {
    const { list, called, add, removes } = createList("a", "b");
    list.callAll();
    add("c");
    removes.forEach((remove) => remove());
    list.callAll();
    assert.equal(called, ["a", "b", "c"]);
  });
});
