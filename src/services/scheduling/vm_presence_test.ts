import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { VM_GONE_MS } from "./timing.ts";
import { VmPresence } from "./vm_presence.ts";

const EMPTY_LIST = { vms: [], isComplete: true };
const LATER_MS = 20 * VM_GONE_MS;

function createPresence(): VmPresence {
  return new VmPresence({ findRunner: () => undefined });
}

describe("the presence of VMs", () => {
  describe("of a VM that lists leave out", () => {
    it("ends after a time", () => {
      const presence = createPresence();
      presence.record(["a"], EMPTY_LIST, 0);
      assert.is(presence.findGoneSinceMs("a", 0), undefined);
      presence.record(["a"], EMPTY_LIST, VM_GONE_MS);
      assert.is(presence.findGoneSinceMs("a", VM_GONE_MS), VM_GONE_MS);
    });

    // Guards against taking a VM for gone after one list: what the lists had
    // shown during an earlier wave counted.
    it("lasts as long when the VM was not followed meanwhile", () => {
      const presence = createPresence();
      presence.record(["a"], EMPTY_LIST, 0);
      presence.record([], EMPTY_LIST, VM_GONE_MS);
      presence.record(["a"], EMPTY_LIST, LATER_MS);
      assert.is(presence.findGoneSinceMs("a", LATER_MS), undefined);
    });
  });
});
