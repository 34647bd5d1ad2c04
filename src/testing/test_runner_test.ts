import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import * as assert from "uvu/assert";
import { afterEach, beforeEach, describe, it } from "./describe.ts";
import { listKnownTitles, parseKnownRed } from "./known_red.ts";
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
    title: "fails when the file throws while it loads",
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

  describe("known failures", () => {
    const text = `# Known failures
test: a/b_test.ts > outer > no answer is lost
command: npm test b_test
seen: one of 400 answers was lost
issue: 5
`;

    it("lists the failing cases of a file", async () => {
      const file = join(folder, "sample_test.mjs");
      const body = `describe("a", () => describe("b", () => {
        it("y", () => { throw new Error("no"); });
        it("z", () => {});
      }));`;
      await writeFile(file, HEAD + body);
      const report = await runTestFile(file);
      assert.equal(report.failedTitles, ["b > y"], report.output);
    });

    it("ignores a listed case only in the listed file", () => {
      const known = parseKnownRed(text);
      const titles = ["outer > no answer is lost", "outer > other"];
      assert.equal(listKnownTitles("a/b_test.ts", titles, known), [
        "outer > no answer is lost",
      ]);
      assert.equal(listKnownTitles("a/c_test.ts", titles, known), []);
    });
  });
});
