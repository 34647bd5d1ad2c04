import { pbkdf2Sync } from "node:crypto";
import * as assert from "uvu/assert";
import { describe, it } from "../../testing/describe.ts";
import { NodeProcessUsage } from "./node_process_usage.ts";

describe("process usage", () => {
  it("grows while the process computes", () => {
    const usage = new NodeProcessUsage();
    const before = usage.read();
    pbkdf2Sync("password", "salt", 50_000, 32, "sha256");
    const after = usage.read();
    assert.ok(after.cpuMs > before.cpuMs);
    assert.ok(after.loopActiveMs > before.loopActiveMs);
  });
});
