"""Tests of the planners' sheet."""

import json
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.sheet import (
    ChangeType,
    Sheet,
    decode_configuration,
    diff,
    encode_configuration,
    parse_sheet,
    read_configuration,
    to_configuration,
)

ROOT = Path(__file__).resolve().parents[2]
DEPLOYMENTS = ("skala", "sfax", "hanbit")
HEADER = (
    "row,name,floor,ceiling,standing,id,team,availability zone,kind,"
    "cpu cores,memory GB,count,accelerators,slots,connections\n"
)
KINDS = "kind,plan,0.5,1,no\nkind,watch,0.5,1,yes\n"


def problems_of(text: str) -> set[tuple[int, str]]:
    """Return the row number and the column of each problem."""
    return {(f.row, f.column) for f in parse_sheet(text.encode()).unwrap_err()}


def sample(deployment: str) -> bytes:
    return (ROOT / "deploy" / deployment / "sheet.csv").read_bytes()


class SheetFormatTests(unittest.TestCase):
    def test_the_sample_sheets_are_valid_and_match_their_deployments(self) -> None:
        for deployment in DEPLOYMENTS:
            file = ROOT / "deploy" / deployment / "deployment.json"
            plan = json.loads(file.read_text(encoding="utf-8"))
            sheet = parse_sheet(sample(deployment), plan["availability_zones"]).unwrap()
            kinds = tuple(WorkKind(**kind) for kind in plan["kinds"])
            self.assertEqual(sheet.kinds, kinds)
            teams = {key["team"] for key in plan["keys"]} - {""}
            self.assertEqual({quota.team for quota in sheet.teams}, teams)

    def test_all_export_formats_give_the_same_sheet(self) -> None:
        comma = "row,name,floor\r\nkind,plan,0.25\r\n"
        expected = parse_sheet(comma.encode()).unwrap()
        self.assertEqual(expected.kinds[0].floor, 0.25)
        for text in (
            "\ufeff" + comma,
            "row;name;floor\nkind;plan;0,25\n",
            "row\tname\tfloor\nkind\tplan\t0,25\n",
            'row,name,floor\nkind,"plan","0,25"\n',
            "\n,,\n Floor ,ROW,Name\n\n25%,Kind, plan \n,,\n",
            "sep=;\nrow;name;floor;;\nkind;plan;0,25;;\n",
        ):
            self.assertEqual(parse_sheet(text.encode()).unwrap(), expected, text)

    def test_a_number_that_depends_on_the_locale_is_rejected(self) -> None:
        text = f"{HEADER}{KINDS}batch,,,,,a,t,zadar,plan,1.500,2\n"
        self.assertEqual(problems_of(text), {(4, "cpu cores")})

    def test_a_wrong_encoding_is_reported_with_its_row(self) -> None:
        found = parse_sheet("row,name\nkind,šina\n".encode("cp1250")).unwrap_err()
        self.assertEqual(found[0].row, 2)
        self.assertIn("UTF-8", found[0].expected)
        found = parse_sheet("row,name\n".encode("utf-16")).unwrap_err()
        self.assertIn("UTF-16", found[0].value)

    def test_text_that_is_not_valid_unicode_is_a_problem(self) -> None:
        text = "row,name\nkind,\ud800\n"
        self.assertTrue(read_configuration(text, 1).is_err())

    def test_an_unclosed_quote_is_a_problem_and_does_not_truncate_the_sheet(
        self,
    ) -> None:
        self.assertIn((2, ""), problems_of('row,name\nkind,"plan\nkind,watch\n'))

    @given(
        st.binary(max_size=60) | st.text(alphabet='row,name;"\nkid0.,%', max_size=60)
    )
    def test_no_input_raises(self, text: bytes | str) -> None:
        data = text if isinstance(text, bytes) else f"row,name\n{text}".encode()
        self.assertIsNotNone(parse_sheet(data))


class SheetProblemTests(unittest.TestCase):
    def test_all_problems_are_reported_at_once(self) -> None:
        text = (
            f"{HEADER}kind,plan,0.7,0.6,maybe\nkind,watch,-1,1,yes\nkind\nflock,x\n"
            "batch,,,,,a b,t,zadar,plan,1,2\nbatch,,,0.5,,a,t,zadar,plan,1,2\n"
        )
        self.assertEqual(
            problems_of(text),
            {
                (2, "standing"),
                (3, "floor"),
                (4, "name"),
                (5, "row"),
                (6, "id"),
                (7, "ceiling"),
            },
        )

    def test_problems_between_rows_are_reported(self) -> None:
        text = (
            f"{HEADER}{KINDS}kind,plan,0.1,1,no\n"
            "service,,,,,a,t,zadar,watch,1,2,2\nservice,,,,,a.2,t,zadar,watch,1,2\n"
            "batch,,,,,b,t,zadar,plam,1,2\nbatch,,,,,c,t,zadar,watch,0,2\n"
        )
        self.assertEqual(
            problems_of(text),
            {
                (4, "name"),
                (4, "floor"),
                (6, "id"),
                (7, "kind"),
                (8, "kind"),
                (8, "cpu cores"),
            },
        )

    def test_a_workload_must_fit_the_quota_of_its_team(self) -> None:
        text = (
            f"{HEADER}{KINDS}team,t,,,,,,,,4,8,,0,8,8\n"
            "job,,,,,a,t,zadar,plan,1,2,5\nbatch,,,,,b,u,zadar,plan,1,2\n"
        )
        self.assertEqual(
            problems_of(text), {(5, "cpu cores"), (5, "memory gb"), (6, "team")}
        )

    def test_an_unknown_zone_is_reported(self) -> None:
        found = parse_sheet(sample("skala"), ("zadar", "sibenik")).unwrap_err()
        self.assertEqual([(f.row, f.value) for f in found], [(12, "rijeka")])

    def test_floors_that_add_up_to_one_are_valid(self) -> None:
        rows = "".join(f"kind,k{number},0.1\n" for number in range(10))
        self.assertTrue(parse_sheet(f"row,name,floor\n{rows}".encode()).is_ok())

    def test_an_unknown_column_is_reported(self) -> None:
        self.assertIn((1, "flor"), problems_of("row,name,flor\nkind,plan,0.5\n"))


class ConfigurationOfSheetTests(unittest.TestCase):
    def test_a_service_gives_one_request_per_task_and_a_job_gives_one(self) -> None:
        configuration = to_configuration(parse_sheet(sample("skala")).unwrap(), 3)
        tasks = {r.key.id: r.tasks for r in configuration.standing}
        self.assertEqual(tasks["watch-zadar"], 1)
        self.assertEqual(tasks["watch-zadar.2"], 1)
        self.assertEqual(tasks["cord-plan-night"], 4)

    def test_encoding_and_decoding_preserve_the_configuration(self) -> None:
        for deployment in DEPLOYMENTS:
            sheet = parse_sheet(sample(deployment)).unwrap()
            configuration = to_configuration(sheet, 7)
            payload = json.loads(json.dumps(encode_configuration(configuration)))
            self.assertEqual(decode_configuration(payload).unwrap(), configuration)

    def test_decoding_invalid_json_is_an_error(self) -> None:
        for payload in (None, [], {}, {"version": 1, "kinds": [{"nam": 1}]}):
            self.assertTrue(decode_configuration(payload).is_err())

    def test_the_diff_lists_each_changed_field(self) -> None:
        sheet = parse_sheet(sample("skala")).unwrap()
        kind = sheet.kinds[0]._replace(weight=9, standing=True)
        quota = sheet.teams[0]._replace(limit=sheet.teams[0].limit._replace(slots=1))
        changed = Sheet((kind, *sheet.kinds[2:]), (quota, *sheet.teams[1:]))
        found = diff(to_configuration(sheet, 1), to_configuration(changed, 2))
        lines = [str(change) for change in found]
        self.assertIn("kind alignment_check changed: weight from 6 to 9", lines)
        self.assertIn("kind alignment_check changed: standing from no to yes", lines)
        self.assertIn("kind cord_path_plan removed", lines)
        self.assertIn("team counter changed: slots from 96 to 1", lines)
        removed = [c for c in found if c.sort is ChangeType.REMOVED]
        self.assertEqual(len(removed), 1 + len(to_configuration(sheet, 1).standing))


if __name__ == "__main__":
    unittest.main()
