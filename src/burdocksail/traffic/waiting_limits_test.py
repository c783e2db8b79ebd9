"""How long requests wait, and when rejected callers come back."""

import unittest

from burdocksail.traffic import MAX_RETURN_DELAY, ReturnSchedule, RunTime


class RunTimeTest(unittest.TestCase):
    def test_wait_limit_leaves_the_time_of_slow_answers(self):
        """Guards against requests that are sent too late to be answered."""
        run_time = RunTime()
        for seconds in [0.05, 0.15] * 50:
            run_time.record(seconds)
        limit = run_time.compute_wait_limit(2.0)
        self.assertLess(limit, 2.0 - 0.15)
        self.assertGreater(limit, 2.0 - 0.5)

    def test_stragglers_leave_half_of_the_timeout_to_wait(self):
        run_time = RunTime()
        for _ in range(50):
            run_time.record(1.9)
        self.assertGreaterEqual(run_time.compute_wait_limit(2.0), 1.0)


class ReturnScheduleTest(unittest.TestCase):
    def test_callers_rejected_together_return_at_the_rate_of_the_queue(self):
        """Guards against callers who all return at the same moment."""
        schedule = ReturnSchedule()
        returns = [schedule.assign("a", 10.0, 0.5, 0.1) for _ in range(5)]
        for index, seconds in enumerate(returns):
            self.assertAlmostEqual(seconds, 0.5 + 0.1 * index)

    def test_callers_of_a_hot_workspace_do_not_delay_those_of_others(self):
        schedule = ReturnSchedule()
        for _ in range(50):
            schedule.assign("hot", 10.0, 0.5, 0.1)
        self.assertAlmostEqual(schedule.assign("small", 10.0, 0.2, 0.1), 0.2)

    def test_schedule_is_bounded_and_forgets_an_old_queue(self):
        schedule = ReturnSchedule()
        for _ in range(100):
            self.assertLessEqual(schedule.assign("a", 10.0, 0.5, 0.1), MAX_RETURN_DELAY)
        self.assertAlmostEqual(schedule.assign("a", 20.0, 0.5, 0.1), 0.5)


if __name__ == "__main__":
    unittest.main()
