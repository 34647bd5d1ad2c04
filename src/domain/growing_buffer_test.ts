import * as assert from "uvu/assert";
import { describe, it } from "../testing/describe.ts";
import { GrowingBuffer } from "./growing_buffer.ts";

describe("growing buffer", () => {
  it("joins chunks, however small", () => {
    const buffer = new GrowingBuffer();
    const expected: number[] = [];
    for (let at = 0; at < 5_000; at += 1) {
      buffer.append(Uint8Array.of(at % 251));
      expected.push(at % 251);
    }
    assert.equal([...buffer.view()], expected);
    assert.is(buffer.sizeBytes, 5_000);
  });

  it("tells how much memory an append will take", () => {
    const buffer = new GrowingBuffer();
    assert.is(buffer.computeCapacity(10), 10);
    buffer.append(new Uint8Array(10));
    assert.is(buffer.computeCapacity(1), 1_024);
    buffer.append(new Uint8Array(1));
    assert.is(buffer.computeCapacity(1_013), 1_024);
    assert.is(buffer.computeCapacity(1_014), 2_048);
  });

  it("leaves the chunks unchanged", () => {
    const first = Uint8Array.of(1);
    const buffer = new GrowingBuffer();
    buffer.append(first);
    buffer.append(Uint8Array.of(2, 3));
    assert.equal([...first], [1]);
    assert.equal([...buffer.take()], [1, 2, 3]);
    assert.is(buffer.sizeBytes, 0);
    buffer.append(Uint8Array.of(4));
    assert.equal([...buffer.view()], [4]);
  });
});
