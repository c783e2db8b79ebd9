"""JSON log lines on standard error, each with instance and failure domain."""

import logging
import sys

import structlog


def configure_logging(instance: str, failure_domain: str, level: str = "info") -> None:
    """Configure the format, level and context of all logs of this process.

    Parameters
    ----------
    instance, failure_domain : str
        Values that every line contains.
    level : str
        Name of the lowest level that is logged, in upper or lower case.
    """
    # The MySQL protocol library logs every connection and error of a caller;
    # `SqlServer` counts the relevant ones.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(
        instance=instance, failure_domain=failure_domain
    )


def get_logger() -> structlog.typing.FilteringBoundLogger:
    """Return the process's logger."""
    return structlog.get_logger()
