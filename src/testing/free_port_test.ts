import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";
import { findFreePort } from "./free_port.ts";

const PORT_COUNT = 40;

describe("free ports", () => {
  it("returns each port once, even when no process listens on it", async () => {
    const ports = new Set<number>();
    for (let count = 0; count < PORT_COUNT; count += 1) {
      ports.add(await findFreePort());
    }
    assert.is(ports.size, PORT_COUNT);
  });

  it("returns different ports to concurrent callers", async () => {
    const ports = await Promise.all(
      Array.from({ length: PORT_COUNT }, () => findFreePort()),
    );
    assert.is(new Set(ports).size, PORT_COUNT);
  });
});
