import * as assert from "uvu/assert";
import { describe, it } from "./describe.ts";
import { findFreePort } from "./free_port.ts";

const PORT_COUNT = 40;

describe("free ports", () => {
  it("gives each port once, though nobody listens on it yet", async () => {
    const ports = new Set<number>();
    for (let drawn = 0; drawn < PORT_COUNT; drawn += 1) {
      ports.add(await findFreePort());
    }
    assert.is(ports.size, PORT_COUNT);
  });

  it("gives no port twice to callers at the same time", async () => {
    const ports = await Promise.all(
      Array.from({ length: PORT_COUNT }, () => findFreePort()),
    );
    assert.is(new Set(ports).size, PORT_COUNT);
  });
});
