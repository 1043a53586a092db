import io
import random
import unittest

import loguru

from sedgeswitch.keys import key_format
from sedgeswitch.keys import logs
from sedgeswitch.keys import lookup


def generate_key(seed=1):
    return key_format.generate_key(random.Random(seed).randbytes)


class KeysTest(unittest.TestCase):
    def setUp(self):
        self.key = generate_key()

    def build_index(self, withdrawn=False):
        key = self.key
        indexed = lookup.IndexedKey("ward-4", key.key_id, key.digest, withdrawn)
        return {key.digest: indexed}

    def test_each_problem_of_a_key_is_distinguished(self):
        text = self.key.plain
        typo = text[:10] + ("a" if text[10] != "a" else "b") + text[11:]
        problem = lookup.KeyProblem
        cases = [
            (None, problem.MISSING),
            ("", problem.MISSING),
            (typo, problem.MALFORMED),
            (text[:-1], problem.MALFORMED),
            ("ssk_" + "é" * 51, problem.MALFORMED),
            (generate_key(2).plain, problem.UNKNOWN),
            (text, lookup.KeyHolder("ward-4", self.key.key_id)),
        ]
        for presented, expected in cases:
            with self.subTest(presented=presented):
                found = lookup.check_key(self.build_index(), presented)
                self.assertEqual(found, expected)
        found = lookup.check_key(self.build_index(withdrawn=True), text)
        self.assertEqual(found, problem.WITHDRAWN)

    def test_operators_token_is_compared_by_digest(self):
        header = f"Bearer {self.key.plain}"
        self.assertTrue(lookup.is_operator(None, None))
        self.assertTrue(lookup.is_operator(self.key.digest, header))
        self.assertFalse(lookup.is_operator(self.key.digest, None))
        self.assertFalse(lookup.is_operator(self.key.digest, "Bearer other"))

    def test_keys_and_tokens_are_redacted_in_the_log(self):
        secret = self.key.plain
        stream = io.StringIO()
        logger = loguru.logger
        logger.remove()
        sink_id = logger.add(
            logs.RedactingStream(stream), serialize=True, diagnose=True, backtrace=True
        )
        try:
            logger.bind(header=f"Bearer {secret}").info("key {} came", secret)
            logger.info("cut key {} and Authorization: Bearer other", secret[:20])
            try:
                raise ValueError(f"bad key {secret!r}")
            except ValueError:
                logger.exception("failed")
        finally:
            logger.remove(sink_id)
        text = stream.getvalue()
        self.assertEqual(text.count("\n"), 3)
        self.assertNotIn(secret[4:20], text)
        self.assertNotIn("other", text)

    def test_patcher_redacts_message_and_extra_fields(self):
        secret = self.key.plain
        record = {"message": f"got {secret}", "extra": {"header": secret, "count": 1}}
        logs.patch_record(record)
        self.assertNotIn(secret, str(record))
        self.assertEqual(record["extra"]["count"], 1)
