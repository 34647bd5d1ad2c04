import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import * as assert from "uvu/assert";
import { afterEach, beforeEach, describe, it } from "./describe.ts";
import { runTestFile } from "./test_runner.ts";

const DESCRIBE_FILE = fileURLToPath(new URL("./describe.js", import.meta.url));
const HEAD = `import { beforeEach, describe, it } from ${
  JSON.stringify(DESCRIBE_FILE)
};\n`;

const CASES = [
  {
    title: "counts nested cases",
    text: `describe("a", () => {
      it("x", () => {});
      describe("b", () => it("y", () => {}));
    });`,
    passedCount: 2,
    failedCount: 0,
  },
  {
    title: "fails when a nested case fails",
    text: `describe("a", () => {
      it("x", () => {});
      describe("b", () => it("y", () => { throw new Error("no"); }));
    });`,
    passedCount: 1,
    failedCount: 1,
  },
  {
    title: "fails when a hook of an outer block fails",
    text: `describe("a", () => {
      beforeEach(() => { throw new Error("no"); });
      describe("b", () => it("y", () => {}));
    });`,
    passedCount: 0,
    failedCount: 1,
  },
  {
    title: "fails when no case ran",
    text: `describe("a", () => {});`,
    passedCount: 0,
    failedCount: 1,
  },
  {
    title: "fails when the file breaks while it loads",
    text: `describe("a", () => it("x", () => {})); throw new Error("no");`,
    passedCount: 0,
    failedCount: 1,
  },
];

describe("test runner", () => {
  let folder = "";
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "cardamomsill-test-"));
  });
  afterEach(() => rm(folder, { recursive: true }));

  describe("one file", () => {
    for (const { title, text, passedCount, failedCount } of CASES) {
      it(title, async () => {
        const file = join(folder, "sample_test.mjs");
        await writeFile(file, HEAD + text);
        const report = await runTestFile(file);
        assert.is(report.passedCount, passedCount, report.output);
        assert.is(report.failedCount, failedCount, report.output);
      });
    }
  });
});
